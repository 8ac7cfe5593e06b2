// Package exchange is what nodes say to each other without being asked by a
// request: every node regularly compares its roster and its configuration's
// version with another one. What the store does not tell a node, its peers do.
package exchange

import "github.com/kestrelstream/kestrelstream/internal/sidecar/roster"

// Message is one side of an exchange.
type Message struct {
	// From is the sender's own record.
	From *roster.Record `json:"from"`
	// Digest is that of the sender's roster.
	Digest uint64 `json:"digest"`
	// Version is that of the sender's configuration, zero without one.
	Version uint64 `json:"version"`
	// Records is the sender's roster when the digests differ.
	Records []*roster.Record `json:"records,omitempty"`
}

// Paths of the peer listener.
const (
	PathRoot          = "/v1"
	pathExchange      = "/exchange"
	pathPing          = "/ping"
	pathConfiguration = "/configuration"
)
