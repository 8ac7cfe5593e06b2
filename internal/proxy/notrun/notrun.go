// Package notrun decides whether a request that was not completed provably did not run. A reply
// that says so is a promise: callers send even requests again that must run at most once. The
// package performs no I/O.
//
// docs/design/0023-what-proves-that-a-request-did-not-run.md lists the places that decide by it.
package notrun

// Evidence is the proof that a request did not run and will not run later. The zero value is none:
// the request may have run. Only this package creates other values.
type Evidence struct{ name string }

// The kinds of evidence.
var (
	notSent        = Evidence{"not-sent"}
	nothingWritten = Evidence{"nothing-written"}
	bodyWithheld   = Evidence{"body-withheld"}
	rejected       = Evidence{"rejected"}
	misdirected    = Evidence{"misdirected"}
	reported       = Evidence{"reported"}
)

// Proven reports whether the request did not run.
func (e Evidence) Proven() bool { return e != Evidence{} }

// String returns the name of the evidence for logs and metrics, empty for none.
func (e Evidence) String() string { return e.name }

// NotSent is the evidence of a refusal by a proxy that has sent the request to nobody.
func NotSent() Evidence { return notSent }

// Reported is the evidence of a refusal by the next proxy, which says in its reply that the request
// did not run. That proxy decides by the rules of this package.
func Reported() Evidence { return reported }
