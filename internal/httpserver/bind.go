package httpserver

import (
	"net"

	"github.com/gravitational/trace"
)

// Binding is one address to bind. Field names the setting it comes from.
type Binding struct {
	Field   string
	Address string
	// Listener receives the bound listener; an empty address leaves it nil.
	Listener *net.Listener
}

// Bind binds all addresses of the machine's network or none.
func Bind(bindings []Binding) error {
	return BindBy(func(address string) (net.Listener, error) { return net.Listen("tcp", address) }, bindings)
}

// BindBy is Bind by a function that listens at an address.
func BindBy(listen func(address string) (net.Listener, error), bindings []Binding) error {
	for index, binding := range bindings {
		if binding.Address == "" {
			continue
		}
		listener, err := listen(binding.Address)
		if err != nil {
			release(bindings[:index])
			return trace.Wrap(err, "bind %s", binding.Field)
		}
		*binding.Listener = listener
	}
	return nil
}

// release closes what was bound and forgets it.
func release(bindings []Binding) {
	for _, binding := range bindings {
		if *binding.Listener != nil {
			CloseAll(*binding.Listener)
			*binding.Listener = nil
		}
	}
}

// CloseAll closes the listeners that are bound.
func CloseAll(listeners ...net.Listener) {
	for _, listener := range listeners {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
