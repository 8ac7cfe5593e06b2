package quota

import "github.com/gravitational/trace"

// Ask is what a node sends to a granter.
type Ask struct {
	// From is the node.
	From string `json:"from"`
	// Lends are the tenants whose share the node lends from now on for a lease.
	Lends []string `json:"lends,omitempty"`
	// Releases are the tenants whose share the node does not lend any more: it has chosen another
	// granter.
	Releases []string `json:"releases,omitempty"`
	// Wants is how many tokens the node wants of each tenant.
	Wants []Want `json:"wants,omitempty"`
}

// Want asks for tokens of one tenant.
type Want struct {
	Tenant string `json:"tenant"`
	Tokens int    `json:"tokens"`
}

// Answer has one grant for each want, in order.
type Answer struct {
	// Closed: the node grants nothing any more, and what was lent to it is its owner's again.
	Closed bool    `json:"closed,omitempty"`
	Grants []Grant `json:"grants,omitempty"`
}

// Grant gives out tokens of one tenant, or none.
type Grant struct {
	Tokens int `json:"tokens,omitempty"`
	// WaitMS is in milliseconds: after that time the tokens may be spent or, where there are
	// none, there may be some.
	WaitMS int64 `json:"waitMs,omitempty"`
	// Unknown: the granter knows of no such limit, or not enough of the other nodes.
	Unknown bool `json:"unknown,omitempty"`
}

const (
	// mostNames bounds the tenants of one message.
	mostNames = 10_000
	// mostWanted bounds the tokens that are wanted at once.
	mostWanted = 10_000
)

// Validate names the field of a message that no node sends so, and why.
func (a *Ask) Validate() error {
	switch {
	case a.From == "":
		return trace.BadParameter("from: is empty")
	case len(a.Lends) > mostNames:
		return trace.BadParameter("lends: has more than %d names", mostNames)
	case len(a.Releases) > mostNames:
		return trace.BadParameter("releases: has more than %d names", mostNames)
	case len(a.Wants) > mostNames:
		return trace.BadParameter("wants: has more than %d entries", mostNames)
	}
	for _, want := range a.Wants {
		if want.Tokens < 1 || want.Tokens > mostWanted {
			return trace.BadParameter("wants.tokens: %d is not from 1 to %d", want.Tokens, mostWanted)
		}
	}
	return nil
}
