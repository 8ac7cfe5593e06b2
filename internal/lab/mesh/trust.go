package mesh

import (
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/identity"
	"github.com/kestrelstream/kestrelstream/internal/settings"
)

// trustValidity is how long the certificates of a mesh are valid.
const trustValidity = 24 * time.Hour

// trust is the authority of a mesh with mutual TLS. A nil trust stands for a
// mesh over plain HTTP.
type trust struct {
	authority *identity.Authority
	// directory holds the files of all nodes until the mesh stops.
	directory string
}

func newTrust() (*trust, error) {
	authority, err := identity.NewAuthority("lab", time.Now(), trustValidity)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "kestrel-lab-")
	if err != nil {
		return nil, trace.Wrap(err, "make a directory for certificates")
	}
	return &trust{authority: authority, directory: directory}, nil
}

// issue fills in the settings by which a node proves who it is.
func (t *trust) issue(files settings.Identity, subject identity.Identity) (settings.Identity, error) {
	if t == nil {
		files.PlainHTTP = true
		return files, nil
	}
	pair, err := t.authority.Issue(subject, time.Now(), trustValidity)
	if err != nil {
		return files, err
	}
	path := func(suffix string) string { return filepath.Join(t.directory, subject.Name()+suffix) }
	files.CertificateFile, files.KeyFile, files.RootsFile = path(".pem"), path("-key.pem"), path("-roots.pem")
	for name, content := range map[string][]byte{
		files.CertificateFile: pair.Certificate, files.KeyFile: pair.Key, files.RootsFile: t.authority.Pair().Certificate,
	} {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			return files, trace.Wrap(err, "write the certificate of %s", subject.Name())
		}
	}
	return files, nil
}

// operators returns the client operators use.
func (t *trust) operators() (*http.Client, error) {
	if t == nil {
		return http.DefaultClient, nil
	}
	files, err := t.issue(settings.Identity{}, identity.Identity{Role: identity.RoleOperator, Operator: "lab"})
	if err != nil {
		return nil, err
	}
	credentials, err := identity.Load(files, zap.NewNop(), prometheus.NewRegistry())
	if err != nil {
		return nil, err
	}
	config := credentials.ClientConfig(identity.AcceptRoles(identity.RoleControl))
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}, nil
}

func (t *trust) scheme() string {
	if t == nil {
		return "http://"
	}
	return "https://"
}

func (t *trust) remove() error {
	if t == nil {
		return nil
	}
	return trace.Wrap(os.RemoveAll(t.directory), "remove certificates")
}
