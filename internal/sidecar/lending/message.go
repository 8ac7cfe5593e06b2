package lending

import "github.com/gravitational/trace"

// GrantRequest is the message that a node sends to a granter: the leases of its shares, the tokens
// that it wants, and those that it deposits.
type GrantRequest struct {
	// From is the name of the sending node.
	From string `json:"from"`
	// Lends lists the accounts whose shares the node lends, for one lease from now.
	Lends []string `json:"lends,omitempty"`
	// Releases lists the accounts whose shares the node no longer lends to this granter because it
	// has selected another one.
	Releases []string `json:"releases,omitempty"`
	// Wants lists how many tokens the node requests of each account.
	Wants []Want `json:"wants,omitempty"`
	// Deposits lists the earned tokens that the node hands to the granter.
	Deposits []Deposit `json:"brings,omitempty"`
}

// Want requests tokens of one account.
type Want struct {
	// Account is encoded as tenant for compatibility with nodes of the previous version, which lend
	// only tenants' rate limits.
	Account string `json:"tenant"`
	Tokens  int    `json:"tokens"`
}

// Deposit hands earned tokens of one account to the granter.
type Deposit struct {
	Account string  `json:"account"`
	Tokens  float64 `json:"tokens"`
}

// GrantResponse holds one grant for each want, in the same order.
type GrantResponse struct {
	// Closed says that the node has stopped granting, and that every share lent to it is back with
	// its owner.
	Closed bool    `json:"closed,omitempty"`
	Grants []Grant `json:"grants,omitempty"`
}

// Grant grants tokens of one account, or none.
type Grant struct {
	Tokens int `json:"tokens,omitempty"`
	// WaitMS is the delay in milliseconds after which the granted tokens may be spent or, if none
	// are granted, after which there may be some.
	WaitMS int64 `json:"waitMs,omitempty"`
	// Unknown says that the granter does not know the account, or does not know enough of the other
	// nodes to grant.
	Unknown bool `json:"unknown,omitempty"`
}

const (
	// maxAccounts limits the accounts in each list of a message.
	maxAccounts = 10_000
	// maxTokensWanted limits the tokens of a want, maxDeposit those of a deposit.
	maxTokensWanted = 10_000
	maxDeposit      = 100_000
)

// Validate returns an error that names the first field whose value no correct node sends.
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
