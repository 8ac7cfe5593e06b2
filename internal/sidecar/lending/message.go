package lending

import "github.com/gravitational/trace"

// GrantRequest is what a node sends to a granter.
type GrantRequest struct {
	// From is the node.
	From string `json:"from"`
	// Lends are the accounts whose share the node lends from now on for a lease.
	Lends []string `json:"lends,omitempty"`
	// Releases are the accounts whose share the node does not lend any more: it has chosen another
	// granter.
	Releases []string `json:"releases,omitempty"`
	// Wants is how many tokens the node wants of each account.
	Wants []Want `json:"wants,omitempty"`
	// Deposits are the tokens that the node has earned itself and passes on.
	Deposits []Deposit `json:"brings,omitempty"`
}

// Want asks for tokens of one account.
type Want struct {
	// Account has the name that nodes of the version before know, which lend to tenants alone.
	Account string `json:"tenant"`
	Tokens  int    `json:"tokens"`
}

// Deposit passes tokens of one account on.
type Deposit struct {
	Account string  `json:"account"`
	Tokens  float64 `json:"tokens"`
}

// GrantResponse has one grant for each want, in order.
type GrantResponse struct {
	// Closed: the node grants nothing any more, and what was lent to it is its owner's again.
	Closed bool    `json:"closed,omitempty"`
	Grants []Grant `json:"grants,omitempty"`
}

// Grant gives out tokens of one account, or none.
type Grant struct {
	Tokens int `json:"tokens,omitempty"`
	// WaitMS is in milliseconds: after that time the tokens may be spent or, where there are
	// none, there may be some.
	WaitMS int64 `json:"waitMs,omitempty"`
	// Unknown: the granter knows of no such account, or not enough of the other nodes.
	Unknown bool `json:"unknown,omitempty"`
}

const (
	// mostNames bounds the accounts of one message.
	maxAccounts = 10_000
	// mostWanted bounds the tokens that are wanted at once, mostPassed those that are passed on.
	maxTokensWanted = 10_000
	maxDeposit      = 100_000
)

// Validate names the field of a message that no node sends so, and why.
func (a *GrantRequest) Validate() error {
	switch {
	case a.From == "":
		return trace.BadParameter("from: is empty")
	case len(a.Lends) > maxAccounts:
		return trace.BadParameter("lends: has more than %d names", maxAccounts)
	case len(a.Releases) > maxAccounts:
		return trace.BadParameter("releases: has more than %d names", maxAccounts)
	case len(a.Wants) > maxAccounts:
		return trace.BadParameter("wants: has more than %d entries", maxAccounts)
	case len(a.Deposits) > maxAccounts:
		return trace.BadParameter("brings: has more than %d entries", maxAccounts)
	}
	for _, want := range a.Wants {
		if want.Tokens < 1 || want.Tokens > maxTokensWanted {
			return trace.BadParameter("wants.tokens: %d is not from 1 to %d", want.Tokens, maxTokensWanted)
		}
	}
	for _, deposit := range a.Deposits {
		if !(deposit.Tokens >= 0 && deposit.Tokens <= maxDeposit) {
			return trace.BadParameter("brings.tokens: %v is not from 0 to %d", deposit.Tokens, maxDeposit)
		}
	}
	return nil
}
