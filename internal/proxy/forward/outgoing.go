package forward

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strings"
	"sync"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// NewRequest builds the request to a peer from the received one. The new
// request takes ownership of header. interim forwards 1xx replies and provides
// storage for the trace and the URL.
func NewRequest(ctx context.Context, received *http.Request, address string, header http.Header, interim *Interim) *http.Request {
	interim.trace.Got1xxResponse = interim.forwardInterim
	outgoing := new(http.Request).WithContext(httptrace.WithClientTrace(ctx, &interim.trace))
	outgoing.Method = received.Method
	outgoing.URL = &interim.address
	interim.address = url.URL{
		Scheme:     "http",
		Host:       address,
		Path:       received.URL.Path,
		RawPath:    received.URL.RawPath,
		RawQuery:   received.URL.RawQuery,
		ForceQuery: received.URL.ForceQuery,
	}
	outgoing.Host = received.Host
	outgoing.Proto, outgoing.ProtoMajor, outgoing.ProtoMinor = "HTTP/1.1", 1, 1
	outgoing.Header = header
	return outgoing
}

// KeepTarget makes the outgoing request use the received request target byte
// for byte instead of its normalized form.
func KeepTarget(outgoing, received *http.Request) {
	path, query, hasQuery := strings.Cut(received.RequestURI, "?")
	outgoing.URL.Opaque = path
	outgoing.URL.RawQuery = query
	outgoing.URL.ForceQuery = hasQuery && query == ""
}

// RequestHeader copies a received header without hop-by-hop headers and mesh
// markers. extra is the number of headers to reserve room for.
func RequestHeader(received http.Header, extra int) http.Header {
	header := make(http.Header, len(received)+extra)
	for name, values := range received {
		if !outcome.IsMarker(name) {
			header[name] = values
		}
	}
	RemoveHopByHop(header)
	if _, set := header["User-Agent"]; !set {
		header["User-Agent"] = noUserAgent
	}
	return header
}

// noUserAgent keeps net/http from adding its default User-Agent. It must not
// be modified.
var noUserAgent = []string{""}

// Interim forwards 1xx replies to the caller. net/http delivers them on its own
// goroutine, possibly after the exchange was cancelled. An Interim belongs to one
// exchange and also holds the trace and the URL of its request, so that one
// allocation serves all of them.
type Interim struct {
	trace   httptrace.ClientTrace
	address url.URL
	hidden  string
	// idHeader, if not empty, is the header that must carry id in replies to forward.
	idHeader, id string
	mutex        sync.Mutex // guards writer
	writer       http.ResponseWriter
}

// NewInterim returns an Interim that writes to w until Stop is called. hidden is
// as for WriteReply.
func NewInterim(w http.ResponseWriter, hidden string) *Interim {
	return &Interim{writer: w, hidden: hidden}
}

// Stop waits for a 1xx reply that is being written and drops all later ones. It
// must be called before the final reply is written.
func (i *Interim) Stop() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.writer = nil
}

// Match makes the Interim drop replies whose header does not carry the id: they may
// belong to another request. It must be called before the exchange.
func (i *Interim) Match(header, id string) { i.idHeader, i.id = header, id }

// forwardInterim writes one 1xx reply. 100 Continue is skipped, since the
// server answers Expect headers itself.
func (i *Interim) forwardInterim(code int, received textproto.MIMEHeader) error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.writer == nil || code == http.StatusContinue || code == http.StatusSwitchingProtocols {
		return nil
	}
	if i.idHeader != "" && received.Get(i.idHeader) != i.id {
		return nil
	}
	header := RequestHeader(http.Header(received), 0)
	delete(header, "User-Agent")
	delete(header, i.hidden)
	outgoing := i.writer.Header()
	copyHeader(outgoing, header)
	i.writer.WriteHeader(code)
	for name := range header {
		delete(outgoing, name)
	}
	return nil
}
