package notrun

import "net/http"

// Send is what a proxy knows of one send of a request on one connection, after which it writes
// nothing more of the request. The zero value proves nothing.
type Send struct {
	// NothingWritten: no byte of the request was written.
	NothingWritten bool
	// BodyWithheld: the peer runs no request whose body is incomplete, and nothing of this one's body
	// was read for sending. It is held back until the peer sends 100 Continue.
	BodyWithheld bool
	// Reply is the final reply that was read, nil for none.
	Reply *Reply
}

// Reply is the part of a back end's final reply that says whether it ran a request.
type Reply struct {
	// RequestID is the id of the request that was sent, ReplyID the one that the reply echoes; empty
	// if missing.
	RequestID, ReplyID string
	Status             int
	// Marked: the reply bears the marker of back ends for requests that they did not process.
	Marked bool
	// Signed: the reply bears the signature of back ends, which is on every reply to a request that
	// they ran.
	Signed bool
}

// Evidence returns what proves that the request did not run because of this send; none if it may
// have run.
func (s Send) Evidence() Evidence {
	switch {
	case s.NothingWritten:
		return nothingWritten
	case s.Reply != nil:
		return s.Reply.evidence()
	case s.BodyWithheld:
		return bodyWithheld
	}
	return Evidence{}
}

// evidence returns what the reply proves. One with another id belongs to another request, and a
// signed one or a success contradicts a rejection.
func (r *Reply) evidence() Evidence {
	switch {
	case r.ReplyID != r.RequestID || r.Signed || r.Status < http.StatusMultipleChoices:
		return Evidence{}
	case r.Status == http.StatusMisdirectedRequest:
		return misdirected
	case r.Marked:
		return rejected
	}
	return Evidence{}
}
