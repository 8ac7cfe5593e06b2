// Package settings holds the typed settings of the programs. They are read
// from one YAML file a process and from flags, flags winning, and are checked
// wholly before anything starts: every error is listed at once.
package settings

import (
	"encoding/json"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Duration is written as a string such as "250ms" or "2s".
type Duration = resource.Duration

// maskedSecret is shown in place of every secret.
const maskedSecret = "[masked]"

// Secret is a setting that no output shows. Printing and encoding it give a
// mask; Reveal gives the value.
type Secret string

// Reveal returns the secret itself.
func (s Secret) Reveal() string { return string(s) }

// String returns the mask, or nothing for an empty secret.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return maskedSecret
}

// GoString returns the mask, so that %#v shows no secret.
func (s Secret) GoString() string { return s.String() }

// MarshalJSON writes the mask.
func (s Secret) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// Node says which process this is and where it runs.
type Node struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region,omitempty"`
}

// Seed is a control daemon a process may connect to before it knows others.
type Seed struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region,omitempty"`
	// Address is the stream listener, IP:port.
	Address string `json:"address"`
}

// Identity says how a process proves who it is to other processes.
type Identity struct {
	// PlainHTTP switches mutual TLS off. Nothing is authenticated then.
	PlainHTTP bool `json:"plainHTTP"`
	// CertificateFile, KeyFile and RootsFile are PEM files. RootsFile may hold
	// several roots, as it does while a root is rotated.
	CertificateFile string `json:"certificateFile,omitempty"`
	KeyFile         string `json:"keyFile,omitempty"`
	RootsFile       string `json:"rootsFile,omitempty"`
	// ReloadInterval is how often the files are read again.
	ReloadInterval Duration `json:"reloadInterval"`
}

// Logging says what is logged. Logs are JSON lines on standard error.
type Logging struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// RepeatInterval and RepeatBurst bound repeated messages: of one message,
	// at most RepeatBurst in each interval are written.
	RepeatInterval Duration `json:"repeatInterval"`
	RepeatBurst    int      `json:"repeatBurst"`
}

// Diagnostics switches expensive or revealing admin pages on.
type Diagnostics struct {
	// Profiling serves the runtime's profiles under /debug/pprof/.
	Profiling bool `json:"profiling"`
}
