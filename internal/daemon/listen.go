package daemon

import (
	"net"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/httpserver"
	"github.com/kestrelstream/kestrelstream/internal/settings"
)

// Listeners are the bound listeners of one daemon.
type Listeners struct {
	API    net.Listener
	Stream net.Listener
	Admin  net.Listener
}

// Listen binds the addresses of the settings, all of them or none.
func Listen(addresses settings.DaemonListen) (*Listeners, error) {
	bound := &Listeners{}
	err := httpserver.Bind([]httpserver.Binding{
		{Field: "listen.api", Address: addresses.API, Listener: &bound.API},
		{Field: "listen.stream", Address: addresses.Stream, Listener: &bound.Stream},
		{Field: "listen.admin", Address: addresses.Admin, Listener: &bound.Admin},
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return bound, nil
}

// Close closes the listeners that are bound.
func (l *Listeners) Close() { httpserver.CloseAll(l.API, l.Stream, l.Admin) }

// Addresses are the bound addresses, IP:port, of one daemon.
type Addresses struct {
	API    string `json:"api"`
	Stream string `json:"stream"`
	Admin  string `json:"admin"`
}

// Addresses returns the bound addresses.
func (l *Listeners) Addresses() Addresses {
	return Addresses{
		API:    l.API.Addr().String(),
		Stream: l.Stream.Addr().String(),
		Admin:  l.Admin.Addr().String(),
	}
}
