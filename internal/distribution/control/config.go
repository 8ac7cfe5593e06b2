package control

import (
	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/reader"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/membership"
)

// Config holds the parts' settings.
type Config struct {
	Relay      relay.Config
	Subscriber subscriber.Config
	Reader     reader.Config
	// RelaysPerZone is how many control daemons of a zone its proxies
	// prefer.
	RelaysPerZone int
	// Slots is how many store readers there may be.
	Slots int
}

// Defaults of the composition.
const (
	defaultRelaysPerZone = 3
	defaultSlots         = 3
)

// DefaultConfig returns the values chosen in docs/design/0004.
func DefaultConfig() Config {
	return Config{
		Relay:         relay.DefaultConfig(),
		Subscriber:    subscriber.DefaultConfig(),
		Reader:        reader.DefaultConfig(),
		RelaysPerZone: defaultRelaysPerZone,
		Slots:         defaultSlots,
	}
}

// ParentUplink names the stream to the parent. Every other uplink is named after
// the peer reader it leads to.
const ParentUplink = ""

// UplinkOutput is what the shell has to do for one stream toward a parent or a
// peer reader, in order of the fields.
type UplinkOutput struct {
	Uplink     string
	Disconnect bool
	Connect    *subscriber.Connect
	Report     *distribution.Report
}

// Outputs is what the shell has to do after an input.
type Outputs struct {
	Sends    []relay.Send
	Refusals []relay.Refusal
	Closes   []relay.SessionID
	Uplinks  []UplinkOutput
	// CancelWatch ends the running watch of the store, before Store.
	CancelWatch bool
	Store       []reader.Request
}

// identity is what a control daemon knows of itself.
type identity struct {
	node distribution.Node
	self membership.Member
}
