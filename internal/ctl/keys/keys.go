// Package keys holds the commands that make a mesh's certificates and sealing
// identities, for trials and small sites. They work on files only and ask no
// server.
package keys

import (
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/identity"
	"github.com/kestrelstream/kestrelstream/internal/seal"
)

// Command is the verb keys with its commands.
type Command struct {
	Root     rootCommand     `cmd:"" help:"Make a root and add it to the bundle of roots."`
	Node     nodeCommand     `cmd:"" help:"Make the certificate of a proxy or a control daemon."`
	Operator operatorCommand `cmd:"" help:"Make the certificate of an operator."`
	Bundle   bundleCommand   `cmd:"" help:"Write the bundle of roots anew, as when a root is retired."`
	Show     showCommand     `cmd:"" help:"Show whom certificates are for and when they expire."`
	Sealing  sealingCommand  `cmd:"" help:"Make an identity that seals secret values in the store."`
}

// directoryFlag says where files are.
type directoryFlag struct {
	Directory string `short:"d" default:"." type:"path" help:"Directory of the certificates and keys."`
}

// rootCommand makes a root.
type rootCommand struct {
	directoryFlag
	Name     string        `default:"root" help:"Name of the root and of its files."`
	Validity time.Duration `default:"43800h" help:"How long the root is valid."`
}

// Run makes the root and adds it to the bundle.
func (c *rootCommand) Run(output io.Writer) error {
	authority, err := identity.NewAuthority(c.Name, time.Now(), c.Validity)
	if err != nil {
		return err
	}
	files := filesIn(c.Directory)
	if err := files.writePair(output, c.Name, authority.Pair()); err != nil {
		return err
	}
	return files.addToBundle(output, authority.Pair().Certificate)
}

// issueFlags are shared by commands that sign a certificate.
type issueFlags struct {
	directoryFlag
	Root     string        `default:"root" help:"Name of the root that signs."`
	Validity time.Duration `default:"2160h" help:"How long the certificate is valid; never beyond its root."`
	Replace  bool          `help:"Replace the files of a former certificate."`
}

func (f *issueFlags) issue(output io.Writer, subject identity.Identity) error {
	files := filesIn(f.Directory)
	files.replace = f.Replace
	if files.belongsToRoot(subject.Name()) {
		return trace.BadParameter("name: %q would replace the files of a root", subject.Name())
	}
	root, err := files.readPair(f.Root)
	if err != nil {
		return err
	}
	authority, err := identity.LoadAuthority(root)
	if err != nil {
		return err
	}
	pair, err := authority.Issue(subject, time.Now(), f.Validity)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(output, subject); err != nil {
		return trace.Wrap(err)
	}
	return files.writePair(output, subject.Name(), pair)
}

// nodeCommand makes the certificate of a node.
type nodeCommand struct {
	issueFlags
	Zone     string   `required:"" help:"Zone of the node."`
	Machine  string   `required:"" help:"Name of the node, as in its settings."`
	Services []string `name:"service" help:"Identity the proxy acts for. May be repeated."`
	Control  bool     `help:"Make it for a control daemon, which may receive the whole configuration."`
}

// Run makes the certificate.
func (c *nodeCommand) Run(output io.Writer) error {
	subject := identity.Identity{Role: identity.RoleProxy, Zone: c.Zone, Machine: c.Machine, Services: c.Services}
	if c.Control {
		subject.Role = identity.RoleControl
	}
	return c.issue(output, subject)
}

// operatorCommand makes the certificate of an operator.
type operatorCommand struct {
	issueFlags
	Name string `required:"" help:"Name of the operator; it stands in the history of changes."`
}

// Run makes the certificate.
func (c *operatorCommand) Run(output io.Writer) error {
	return c.issue(output, identity.Identity{Role: identity.RoleOperator, Operator: c.Name})
}

// bundleCommand writes the bundle of roots anew.
type bundleCommand struct {
	directoryFlag
	Roots []string `name:"root" required:"" help:"Name of a root to believe. May be repeated."`
}

// Run writes the bundle.
func (c *bundleCommand) Run(output io.Writer) error {
	return filesIn(c.Directory).writeBundle(output, c.Roots)
}

// showCommand shows certificates.
type showCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Certificates or bundles in PEM."`
}

// Run prints one line for each certificate.
func (c *showCommand) Run(output io.Writer) error {
	for _, file := range c.Files {
		if err := show(output, file); err != nil {
			return err
		}
	}
	return nil
}

// sealingCommand makes a sealing identity.
type sealingCommand struct{}

// Run prints the identity, to be put first in sealing.identities.
func (sealingCommand) Run(output io.Writer) error {
	made, err := seal.NewIdentity()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(output, made)
	return trace.Wrap(err)
}
