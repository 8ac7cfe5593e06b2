package agent

import (
	"net"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/httpserver"
	"github.com/kestrelstream/kestrelstream/internal/settings"
)

// Listeners are the bound listeners of one proxy.
type Listeners struct {
	Outbound net.Listener
	// Inbound is nil without a back end.
	Inbound net.Listener
	Admin   net.Listener
}

// Listen binds the addresses of the settings, all of them or none.
func Listen(addresses settings.ProxyListen) (*Listeners, error) {
	bound := &Listeners{}
	err := httpserver.Bind([]httpserver.Binding{
		{Field: "listen.outbound", Address: addresses.Outbound, Listener: &bound.Outbound},
		{Field: "listen.inbound", Address: addresses.Inbound, Listener: &bound.Inbound},
		{Field: "listen.admin", Address: addresses.Admin, Listener: &bound.Admin},
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return bound, nil
}

// Close closes the listeners that are bound.
func (l *Listeners) Close() { httpserver.CloseAll(l.Outbound, l.Inbound, l.Admin) }

// Addresses are the bound addresses, IP:port, of one proxy.
type Addresses struct {
	Outbound string `json:"outbound"`
	Inbound  string `json:"inbound,omitempty"`
	Admin    string `json:"admin"`
}

// Addresses returns the bound addresses.
func (l *Listeners) Addresses() Addresses {
	addresses := Addresses{Outbound: l.Outbound.Addr().String(), Admin: l.Admin.Addr().String()}
	if l.Inbound != nil {
		addresses.Inbound = l.Inbound.Addr().String()
	}
	return addresses
}
