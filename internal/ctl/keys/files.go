package keys

import (
	"bytes"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/identity"
)

// Names and permissions of the files.
const (
	bundleName        = "roots.pem"
	certificateSuffix = ".pem"
	keySuffix         = "-key.pem"

	certificateMode os.FileMode = 0o644
	keyMode         os.FileMode = 0o600
	directoryMode   os.FileMode = 0o700
)

// files is a directory of certificates and keys.
type files struct {
	directory string
	// replace allows files to be replaced.
	replace bool
}

func filesIn(directory string) *files { return &files{directory: directory} }

func (f *files) path(name string) string { return filepath.Join(f.directory, name) }

// writePair writes a certificate and its key. The key is written first, so
// that no certificate ever stands without its key.
func (f *files) writePair(output io.Writer, name string, pair identity.Pair) error {
	if err := os.MkdirAll(f.directory, directoryMode); err != nil {
		return trace.Wrap(err, "making the directory")
	}
	if err := f.write(output, name+keySuffix, pair.Key, keyMode); err != nil {
		return err
	}
	return f.write(output, name+certificateSuffix, pair.Certificate, certificateMode)
}

// write puts a whole file in place at once. Without replace an existing file
// is an error.
func (f *files) write(output io.Writer, name string, content []byte, mode os.FileMode) error {
	path := f.path(name)
	if _, err := os.Lstat(path); err == nil && !f.replace {
		return trace.AlreadyExists("%s exists already", path)
	}
	temporary, err := os.CreateTemp(f.directory, name+".*")
	if err != nil {
		return trace.Wrap(err, "writing %s", path)
	}
	defer func() { _ = os.Remove(temporary.Name()) }()
	if err := fill(temporary, content, mode); err != nil {
		return trace.Wrap(err, "writing %s", path)
	}
	if err := os.Rename(temporary.Name(), path); err != nil {
		return trace.Wrap(err, "writing %s", path)
	}
	_, err = fmt.Fprintln(output, "wrote", path)
	return trace.Wrap(err)
}

func fill(file *os.File, content []byte, mode os.FileMode) error {
	if err := file.Chmod(mode); err != nil {
		_ = file.Close()
		return err
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func (f *files) readPair(name string) (identity.Pair, error) {
	certificate, err := os.ReadFile(f.path(name + certificateSuffix))
	if err != nil {
		return identity.Pair{}, trace.Wrap(err, "reading %q", name)
	}
	key, err := os.ReadFile(f.path(name + keySuffix))
	if err != nil {
		return identity.Pair{}, trace.Wrap(err, "reading the key of %q", name)
	}
	return identity.Pair{Certificate: certificate, Key: key}, nil
}

// belongsToRoot reports whether a name's files are a root's or the bundle.
func (f *files) belongsToRoot(name string) bool {
	if name+certificateSuffix == bundleName {
		return true
	}
	pair, err := f.readPair(name)
	if err != nil {
		return false
	}
	_, err = identity.LoadAuthority(pair)
	return err == nil
}

// addToBundle adds a root to the bundle, which is made when there is none.
func (f *files) addToBundle(output io.Writer, certificate []byte) error {
	bundle, err := os.ReadFile(f.path(bundleName))
	if err != nil && !os.IsNotExist(err) {
		return trace.Wrap(err, "reading the bundle")
	}
	replacing := files{directory: f.directory, replace: true}
	return replacing.write(output, bundleName, append(bundle, certificate...), certificateMode)
}

// writeBundle writes a bundle of exactly the named roots.
func (f *files) writeBundle(output io.Writer, roots []string) error {
	var bundle bytes.Buffer
	for _, name := range roots {
		certificate, err := os.ReadFile(f.path(name + certificateSuffix))
		if err != nil {
			return trace.Wrap(err, "reading root %q", name)
		}
		bundle.Write(certificate)
	}
	replacing := files{directory: f.directory, replace: true}
	return replacing.write(output, bundleName, bundle.Bytes(), certificateMode)
}

// show prints whom each certificate of a file is for and when it expires.
func show(output io.Writer, file string) error {
	rest, err := os.ReadFile(file)
	if err != nil {
		return trace.Wrap(err, "reading a certificate")
	}
	for count := 0; ; count++ {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			if count == 0 {
				return trace.BadParameter("%s: holds no certificate", file)
			}
			return nil
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return trace.Wrap(err, "reading %s", file)
		}
		_, err = fmt.Fprintf(output, "%s  expires %s  %s\n", file, certificate.NotAfter.UTC().Format(time.RFC3339), subject(certificate))
		if err != nil {
			return trace.Wrap(err)
		}
	}
}

func subject(certificate *x509.Certificate) string {
	if certificate.IsCA {
		return "root " + certificate.Subject.CommonName
	}
	named, err := identity.FromCertificate(certificate)
	if err != nil {
		return err.Error()
	}
	return named.String()
}
