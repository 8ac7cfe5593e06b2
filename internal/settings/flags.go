package settings

import (
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/gravitational/trace"
	"sigs.k8s.io/yaml"

	"github.com/kestrelstream/kestrelstream/internal/build"
)

// Flags are the flags both programs share. Flags win over the file.
type Flags struct {
	File          string   `name:"settings" short:"c" placeholder:"FILE" env:"KESTREL_SETTINGS" help:"Settings file (YAML)."`
	CheckSettings bool     `help:"Check the settings, list every error, and exit."`
	PrintSettings bool     `help:"Print the settings in force, secrets masked, and exit."`
	Version       bool     `help:"Print the version and exit."`
	Set           []string `sep:"none" placeholder:"FIELD=VALUE" help:"Set one field, as in distribution.batchWindow=50ms. May be repeated."`
	Name          string   `help:"Name of this node (node.name)."`
	Zone          string   `help:"Zone of this node (node.zone)."`
	Region        string   `help:"Region of this node (node.region)."`
	Admin         string   `placeholder:"IP:PORT" help:"Admin listener (listen.admin)."`
	PlainHTTP     bool     `name:"plain-http" help:"Run without mutual TLS (identity.plainHTTP). Nothing is authenticated."`
}

// DaemonFlags are the flags of kestreld.
type DaemonFlags struct {
	Flags  `embed:""`
	API    string `name:"api" placeholder:"IP:PORT" help:"Resource API listener (listen.api)."`
	Stream string `placeholder:"IP:PORT" help:"Stream listener (listen.stream)."`
	Store  string `placeholder:"IP:PORT" help:"The platform's key-value service (store.address)."`
}

// ProxyFlags are the flags of kestrel-proxy.
type ProxyFlags struct {
	Flags    `embed:""`
	Outbound string `placeholder:"IP:PORT" help:"Callers' listener (listen.outbound)."`
	Inbound  string `placeholder:"IP:PORT" help:"Listener beside the back end (listen.inbound)."`
}

// override is one field set by a flag.
type override struct {
	path  string
	value string
}

// ErrDone says that what the flags asked for is done and that the program is
// to end with success.
var ErrDone = errors.New("settings: nothing further to do")

// Load reads and checks the daemon's settings. It returns ErrDone after
// printing what --version, --print-settings or --check-settings asked for.
func (f *DaemonFlags) Load(output io.Writer) (*Daemon, error) {
	loaded := DefaultDaemon()
	overrides := append(f.common(), override{"listen.api", f.API},
		override{"listen.stream", f.Stream}, override{"store.address", f.Store})
	return &loaded, f.run(output, &loaded, overrides, loaded.Check)
}

// Load reads and checks the proxy's settings. It returns ErrDone after
// printing what --version, --print-settings or --check-settings asked for.
func (f *ProxyFlags) Load(output io.Writer) (*Proxy, error) {
	loaded := DefaultProxy()
	overrides := append(f.common(), override{"listen.outbound", f.Outbound}, override{"listen.inbound", f.Inbound})
	check := func() error {
		if loaded.Backend != nil {
			loaded.Backend.setDefaults()
		}
		return loaded.Check()
	}
	return &loaded, f.run(output, &loaded, overrides, check)
}

func (f *Flags) common() []override {
	overrides := []override{
		{"node.name", f.Name}, {"node.zone", f.Zone}, {"node.region", f.Region}, {"listen.admin", f.Admin},
	}
	if f.PlainHTTP {
		overrides = append(overrides, override{"identity.plainHTTP", "true"})
	}
	return overrides
}

// run loads into target, which holds the defaults, and serves the flags that
// only print.
func (f *Flags) run(output io.Writer, target any, overrides []override, check func() error) error {
	if f.Version {
		_, err := fmt.Fprintln(output, build.Read())
		return doneOr(err)
	}
	parsed, err := f.read(overrides)
	if err != nil {
		return err
	}
	decoding := &decoder{}
	decoding.decode("", map[string]any(parsed), reflect.ValueOf(target).Elem())
	if err := mergeErrors(decoding.errors, check()); err != nil {
		return err
	}
	switch {
	case f.PrintSettings:
		return doneOr(printMasked(output, target))
	case f.CheckSettings:
		_, err := fmt.Fprintln(output, "settings: no errors")
		return doneOr(err)
	}
	return nil
}

// read returns the file's document with the flags written into it.
func (f *Flags) read(overrides []override) (document, error) {
	parsed := document{}
	if f.File != "" {
		data, err := os.ReadFile(f.File)
		if err != nil {
			return nil, trace.Wrap(err, "reading settings file")
		}
		if parsed, err = parseDocument(data); err != nil {
			return nil, err
		}
	}
	return parsed, f.override(parsed, overrides)
}

// override writes the flags into the document. Named flags win over --set.
func (f *Flags) override(parsed document, named []override) error {
	for _, assignment := range f.Set {
		path, text, found := strings.Cut(assignment, "=")
		if !found || path == "" {
			return Errors{{Field: "--set", Reason: "must be FIELD=VALUE"}}
		}
		var value any
		if err := yaml.Unmarshal([]byte(text), &value); err != nil {
			return Errors{{Field: path, Reason: "value is not YAML"}}
		}
		if err := parsed.set(path, value); err != nil {
			return err
		}
	}
	for _, flag := range named {
		if flag.value == "" {
			continue
		}
		var value any = flag.value
		if flag.path == "identity.plainHTTP" {
			value = true
		}
		if err := parsed.set(flag.path, value); err != nil {
			return err
		}
	}
	return nil
}

// mergeErrors adds what the check found to what decoding found, leaving out
// fields that already have an error.
func mergeErrors(decoding Errors, checked error) error {
	var found Errors
	errors.As(checked, &found)
	named := map[string]bool{}
	for _, fieldError := range decoding {
		named[fieldError.Field] = true
	}
	for _, fieldError := range found {
		if !named[fieldError.Field] {
			decoding = append(decoding, fieldError)
		}
	}
	if len(decoding) == 0 {
		return nil
	}
	return decoding
}

func printMasked(output io.Writer, target any) error {
	encoded, err := yaml.Marshal(target)
	if err != nil {
		return trace.Wrap(err, "printing settings")
	}
	_, err = output.Write(encoded)
	return trace.Wrap(err, "printing settings")
}

func doneOr(err error) error {
	if err != nil {
		return err
	}
	return ErrDone
}
