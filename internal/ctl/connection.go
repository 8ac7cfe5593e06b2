package ctl

import (
	"crypto/tls"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"sigs.k8s.io/yaml"

	"github.com/kestrelstream/kestrelstream/internal/client"
	"github.com/kestrelstream/kestrelstream/internal/identity"
	"github.com/kestrelstream/kestrelstream/internal/settings"
)

// connectionFlags say which server is asked. A flag wins over the environment,
// and that over the settings file.
type connectionFlags struct {
	Server         string        `env:"KESTRELCTL_SERVER" placeholder:"ADDRESS" help:"Resource API of any kestreld, IP:port or URL."`
	Settings       string        `short:"c" env:"KESTRELCTL_SETTINGS" placeholder:"FILE" help:"Settings file (YAML) with server and identity."`
	RequestTimeout time.Duration `default:"10s" help:"Longest time for one request."`
}

// fileSettings is the content of the settings file.
type fileSettings struct {
	// Server is used when neither flag nor environment names one.
	Server string `json:"server"`
	// Identity names the operator's certificate. Without a certificate the
	// server is asked over plain HTTP.
	Identity settings.Identity `json:"identity"`
}

// connect returns a client of the server that flag, environment or settings
// file name.
func (f *connectionFlags) connect() (*client.Client, error) {
	loaded, err := f.load()
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	if f.Server == "" {
		f.Server = loaded.Server
	}
	if f.Server == "" {
		return nil, &UsageError{Reason: "no server: give --server, set KESTRELCTL_SERVER or name one in a settings file"}
	}
	secured, err := credentials(loaded.Identity)
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	address := f.Server
	if secured != nil && !strings.Contains(address, "://") {
		address = "https://" + address
	}
	connected, err := client.New(address, client.Options{Timeout: f.RequestTimeout, TLS: secured})
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	return connected, nil
}

func (f *connectionFlags) load() (fileSettings, error) {
	var loaded fileSettings
	if f.Settings == "" {
		return loaded, nil
	}
	data, err := os.ReadFile(f.Settings)
	if err != nil {
		return loaded, err
	}
	if err := yaml.UnmarshalStrict(data, &loaded); err != nil {
		return loaded, fmt.Errorf("%s: %w", f.Settings, err)
	}
	return loaded, nil
}

// credentials returns the TLS configuration of an operator; nil without a
// certificate.
func credentials(files settings.Identity) (*tls.Config, error) {
	if files.CertificateFile == "" {
		return nil, nil
	}
	loaded, err := identity.Load(files, zap.NewNop(), prometheus.NewRegistry())
	if err != nil {
		return nil, err
	}
	return loaded.ClientConfig(identity.AcceptRoles(identity.RoleControl)), nil
}
