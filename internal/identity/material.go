package identity

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/settings"
)

// material is what a process proves itself by and believes others by. It is
// immutable; a reload builds another.
type material struct {
	files       [3][]byte
	certificate tls.Certificate
	self        Identity
	notAfter    time.Time
	pool        *x509.CertPool
	// verified holds leaf certificates whose chain was verified against pool,
	// by their address: a connection keeps one for its life.
	verified      sync.Map
	verifiedCount atomic.Int64
	roots         []*x509.Certificate
}

// readMaterial reads the files the settings name.
func readMaterial(files settings.Identity) (*material, error) {
	read := &material{}
	for index, path := range []string{files.CertificateFile, files.KeyFile, files.RootsFile} {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, trace.Wrap(err, "reading identity files")
		}
		read.files[index] = content
	}
	return read, read.parse()
}

func (m *material) equal(other *material) bool {
	for index := range m.files {
		if !bytes.Equal(m.files[index], other.files[index]) {
			return false
		}
	}
	return true
}

func (m *material) parse() error {
	certificate, err := tls.X509KeyPair(m.files[0], m.files[1])
	if err != nil {
		return trace.Wrap(err, "reading the certificate and its key")
	}
	leaf, err := x509.ParseCertificate(certificate.Certificate[0])
	if err != nil {
		return trace.Wrap(err, "reading the certificate")
	}
	self, err := FromCertificate(leaf)
	if err != nil {
		return trace.Wrap(err, "reading the certificate")
	}
	if m.roots, err = parseRoots(m.files[2]); err != nil {
		return err
	}
	m.pool = x509.NewCertPool()
	for _, root := range m.roots {
		m.pool.AddCert(root)
	}
	certificate.Leaf = leaf
	m.certificate, m.self, m.notAfter = certificate, self, leaf.NotAfter
	return nil
}

func parseRoots(bundle []byte) ([]*x509.Certificate, error) {
	var roots []*x509.Certificate
	for {
		var block *pem.Block
		block, bundle = pem.Decode(bundle)
		if block == nil {
			break
		}
		if block.Type != certificateBlock {
			return nil, trace.BadParameter("roots: a block of type %q, want only %s", block.Type, certificateBlock)
		}
		root, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, trace.Wrap(err, "reading the roots")
		}
		roots = append(roots, root)
	}
	if len(roots) == 0 {
		return nil, trace.BadParameter("roots: no certificate in the file")
	}
	return roots, nil
}

// verifiedLimit bounds the leaves that are remembered as verified.
const verifiedLimit = 1 << 14

// verifiedPeer is what is remembered of a verified chain. A leaf's own time is
// checked on each use; the chain above it holds until validUntil.
type verifiedPeer struct {
	identity   Identity
	validUntil time.Time
}

// verifyAgain is verify for the chain of a connection that stands: the costly
// part is done once for each leaf.
func (m *material) verifyAgain(chain []*x509.Certificate, usage x509.ExtKeyUsage, now time.Time) (Identity, error) {
	if len(chain) == 0 {
		return m.verify(chain, usage, now)
	}
	if known, found := m.verified.Load(chain[0]); found {
		if peer := known.(verifiedPeer); now.Before(peer.validUntil) {
			return peer.identity, nil
		}
	}
	identity, err := m.verify(chain, usage, now)
	if err == nil {
		m.remember(chain[0], verifiedPeer{identity: identity, validUntil: earliestExpiry(chain, m.roots)})
	}
	return identity, err
}

// remember keeps a verified peer, and forgets all when they are too many.
func (m *material) remember(leaf *x509.Certificate, peer verifiedPeer) {
	if m.verifiedCount.Add(1) > verifiedLimit {
		m.verified.Clear()
		m.verifiedCount.Store(1)
	}
	m.verified.Store(leaf, peer)
}

// earliestExpiry is a time until which a verified chain surely stays valid.
func earliestExpiry(chain, roots []*x509.Certificate) time.Time {
	earliest := chain[0].NotAfter
	for _, certificate := range slices.Concat(chain, roots) {
		if certificate.NotAfter.Before(earliest) {
			earliest = certificate.NotAfter
		}
	}
	return earliest
}

// verify checks a peer's chain against the roots at one time and returns who
// the peer is.
func (m *material) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage, now time.Time) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, trace.AccessDenied("the peer showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         m.pool,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return Identity{}, trace.Wrap(err, "verifying certificate %q", chain[0].Subject.CommonName)
	}
	return FromCertificate(chain[0])
}
