package control

import (
	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/reader"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/membership"
)

// Config holds the settings of a control core and its components.
type Config struct {
	Relay      relay.Config
	Subscriber subscriber.Config
	Reader     reader.Config
	// RelaysPerZone is the number of control daemons of a zone that its
	// proxies prefer.
	RelaysPerZone int
	// Slots is the maximum number of store readers.
	Slots int
}

// Defaults of Config.
const (
	defaultRelaysPerZone = 3
	defaultSlots         = 3
)

// DefaultConfig returns the defaults described in docs/design/0004.
func DefaultConfig() Config {
	return Config{
		Relay:         relay.DefaultConfig(),
		Subscriber:    subscriber.DefaultConfig(),
		Reader:        reader.DefaultConfig(),
		RelaysPerZone: defaultRelaysPerZone,
		Slots:         defaultSlots,
	}
}

// ParentUplink is the name of the stream to the parent. Every other uplink has the
// name of the peer reader that it connects to.
const ParentUplink = ""

// UplinkOutput lists the actions for one stream to a parent or a peer reader.
// The caller performs them in the order of the fields.
type UplinkOutput struct {
	Uplink     string
	Disconnect bool
	Connect    *subscriber.Connect
	Report     *distribution.Report
}

// Outputs lists the actions that the caller has to perform after an input.
type Outputs struct {
	Sends    []relay.Send
	Refusals []relay.Refusal
	Closes   []relay.SessionID
	Uplinks  []UplinkOutput
	// CancelWatch ends the running watch of the store; it is performed before
	// the requests in Store.
	CancelWatch bool
	Store       []reader.Request
}

// identity describes the control daemon itself.
type identity struct {
	node distribution.Node
	self membership.Member
}
