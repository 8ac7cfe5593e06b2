package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/projection"
)

// result is the response or error that a caller received.
type result struct {
	status  int
	header  http.Header
	body    string
	trailer http.Header
	err     error
}

func (m *mesh) do(request *http.Request) result {
	response, err := m.client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{response.StatusCode, response.Header, string(body), response.Trailer, err}
}

func (m *mesh) call(method, call string) result { return m.do(m.request(method, call)) }

func (m *mesh) setHandlers(handler http.HandlerFunc) {
	for _, backend := range m.backends {
		backend.setHandler(handler)
	}
}

func (m *mesh) runCount(call string) int {
	total := 0
	for _, backend := range m.backends {
		total += backend.runCount(call)
	}
	return total
}

// killConnection closes the connection without sending anything further.
func killConnection(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_ = connection.Close()
}

func killAfterRun(w http.ResponseWriter, _ *http.Request) { killConnection(w) }

func killInHeaders(w http.ResponseWriter, _ *http.Request) {
	connection, _, _ := http.NewResponseController(w).Hijack()
	_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-")
	_ = connection.Close()
}

func killInBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("half"))
	_ = http.NewResponseController(w).Flush()
	killConnection(w)
}

func killInChunks(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("half"))
	_ = http.NewResponseController(w).Flush()
	killConnection(w)
}

func shedWithMarker(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Shed", "1")
	http.Error(w, "no room", http.StatusServiceUnavailable)
}

func rejectWithoutMarker(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "no room", http.StatusServiceUnavailable)
}

// TestBackendFailures checks the response to the caller and the number of runs for
// each way in which a back end can fail.
func TestBackendFailures(t *testing.T) {
	const aborted = 0
	cases := []struct {
		name      string
		handler   http.HandlerFunc
		absent    bool
		method    string
		status    int
		outcome   string
		minimum   int // runs
		maximum   int
		retryable bool
	}{
		{name: "killed after the run", handler: killAfterRun, method: "POST", status: 502, outcome: "unknown", minimum: 1, maximum: 1},
		{name: "killed after the run", handler: killAfterRun, method: "GET", status: 502, outcome: "unknown", minimum: 3, maximum: 3},
		{name: "killed in the headers", handler: killInHeaders, method: "POST", status: 502, outcome: "unknown", minimum: 1, maximum: 1},
		{name: "killed in a body with Content-Length", handler: killInBody, method: "POST", status: aborted, minimum: 1, maximum: 1},
		{name: "killed in a body with Content-Length", handler: killInBody, method: "GET", status: aborted, minimum: 1, maximum: 1},
		{name: "killed in a chunked body", handler: killInChunks, method: "POST", status: aborted, minimum: 1, maximum: 1},
		{name: "shed with the marker", handler: shedWithMarker, method: "POST", status: 503, outcome: "not-run", minimum: 3, maximum: 3},
		{name: "refused without the marker", handler: rejectWithoutMarker, method: "POST", status: 503, outcome: "", minimum: 1, maximum: 1},
		{name: "no listener", absent: true, method: "POST", status: 503, outcome: "not-run"},
	}
	for _, test := range cases {
		t.Run(test.method+" "+test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				testMesh := newMesh(2, nil)
				defer testMesh.close()
				if test.absent {
					for _, backend := range testMesh.backends {
						backend.stop()
					}
				} else {
					testMesh.setHandlers(test.handler)
				}
				got := testMesh.call(test.method, "one")
				if test.status == aborted {
					g.Expect(got.err).To(HaveOccurred())
				} else {
					g.Expect(got.err).NotTo(HaveOccurred())
					g.Expect(got.status).To(Equal(test.status))
					g.Expect(got.header.Get("Kestrel-Outcome")).To(Equal(test.outcome))
				}
				if test.outcome == "not-run" {
					g.Expect(got.header.Get("Retry-After")).To(Equal("1"))
				}
				if test.outcome != "" {
					g.Expect(got.header.Get("Kestrel-Error")).To(MatchRegexp(`^step=[a-z]+; peer=\S+$`))
				}
				g.Expect(testMesh.runCount("one")).To(BeNumerically(">=", test.minimum))
				g.Expect(testMesh.runCount("one")).To(BeNumerically("<=", test.maximum))
			})
		})
	}
}

func TestNotRunIsRetriedOnAnotherEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(2, nil)
		defer testMesh.close()
		testMesh.backends[0].stop()
		for index := range 20 {
			call := fmt.Sprint(index)
			got := testMesh.call("POST", call)
			g.Expect(got.body).To(Equal("ok"))
			g.Expect(testMesh.runCount(call)).To(Equal(1))
		}
	})
}

// TestLaterRefusalKeepsUnknownOutcome checks that a call whose first attempt may
// have run is reported as unknown, even if a retry is refused as not run.
func TestLaterRefusalKeepsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(1, nil)
		defer testMesh.close()
		backend := testMesh.backends[0]
		backend.setHandler(func(w http.ResponseWriter, r *http.Request) {
			backend.setHandler(shedWithMarker)
			killConnection(w)
		})
		got := testMesh.call("GET", "one")
		g.Expect(got.status).To(Equal(503))
		g.Expect(got.header.Get("Kestrel-Outcome")).To(Equal("unknown"))
		g.Expect(got.header).NotTo(HaveKey("Shed"))
		g.Expect(got.body).To(HavePrefix("unknown: "))
	})
}

// inboundRequest builds a request to the inbound listener, as a caller's proxy
// sends it.
func (m *mesh) inboundRequest(call string, change func(http.Header)) *http.Request {
	request, _ := http.NewRequest("POST", "http://a-inbound/start", nil)
	request.Header = http.Header{
		"Test-Call": {call}, "Kestrel-Call-Id": {call}, "Kestrel-Service": {serviceName},
		"Kestrel-Attempt": {"1"}, "Kestrel-Deadline-Ms": {"1000"},
	}
	if change != nil {
		change(request.Header)
	}
	return request
}

func TestInboundRequestChecks(t *testing.T) {
	set := func(name, value string) func(http.Header) {
		return func(header http.Header) { header[name] = []string{value} }
	}
	cases := []struct {
		name    string
		first   func(http.Header)
		second  func(http.Header)
		status  int
		outcome string
		runs    int
	}{
		{"the same call", nil, nil, 409, "unknown", 1},
		{"the same call as another attempt", nil, set("Kestrel-Attempt", "2"), 409, "unknown", 1},
		{"another attempt of a repeatable call", set("Kestrel-Repeatable", "true"), func(header http.Header) {
			set("Kestrel-Repeatable", "true")(header)
			set("Kestrel-Attempt", "2")(header)
		}, 200, "", 2},
		{"a call with an invalid repeatable header", set("Kestrel-Repeatable", "yes"), nil, 409, "unknown", 1},
		{"without a call id", nil, func(header http.Header) { delete(header, "Kestrel-Call-Id") }, 403, "not-run", 1},
		{"for another service", nil, set("Kestrel-Service", "billing"), 421, "not-run", 1},
		{"with no time left", nil, set("Kestrel-Deadline-Ms", "0"), 504, "not-run", 1},
		{"with an invalid deadline", nil, set("Kestrel-Deadline-Ms", "soon"), 400, "not-run", 1},
		{"asking for an upgrade", nil, func(header http.Header) {
			set("Connection", "Upgrade")(header)
			set("Upgrade", "websocket")(header)
		}, 501, "not-run", 1},
	}
	for _, arrival := range cases {
		t.Run(arrival.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				testMesh := newMesh(1, nil)
				defer testMesh.close()
				g.Expect(testMesh.do(testMesh.inboundRequest("one", arrival.first)).status).To(Equal(200))
				got := testMesh.do(testMesh.inboundRequest("one", arrival.second))
				g.Expect(got.status).To(Equal(arrival.status))
				g.Expect(got.header.Get("Kestrel-Outcome")).To(Equal(arrival.outcome))
				g.Expect(testMesh.runCount("one")).To(Equal(arrival.runs))
			})
		})
	}
}

// TestCallProvenNotRunMayBeRepeated checks that the inbound proxy does not treat a
// call as a duplicate if its earlier attempt was proven not run.
func TestCallProvenNotRunMayBeRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(1, nil)
		defer testMesh.close()
		backend := testMesh.backends[0]
		backend.setHandler(shedWithMarker)
		g.Expect(testMesh.do(testMesh.inboundRequest("one", nil)).header.Get("Kestrel-Outcome")).To(Equal("not-run"))
		backend.setHandler(answerOK)
		g.Expect(testMesh.do(testMesh.inboundRequest("one", nil)).status).To(Equal(200))
		g.Expect(testMesh.do(testMesh.inboundRequest("one", nil)).status).To(Equal(409))
	})
}

// TestRetriesDoNotMultiplyAcrossHops sends a call through a chain of twelve
// services, of which the last one sheds load. Each service passes on the refusal
// and the attempt number. The attempts at the last one must grow linearly with
// the depth of the chain.
func TestRetriesDoNotMultiplyAcrossHops(t *testing.T) {
	const depth, attempts = 12, 3
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hops := make([]*mesh, depth)
		for index := range hops {
			hops[index] = newMesh(1, func(snapshot *projection.Snapshot) { snapshot.Services[serviceName].Slots = 1000 })
			defer hops[index].close()
		}
		for index := range depth - 1 {
			hops[index].setHandlers(func(w http.ResponseWriter, r *http.Request) {
				next := hops[index+1].request("GET", "one")
				next.Header.Set("Kestrel-Attempt", r.Header.Get("Kestrel-Attempt"))
				got := hops[index+1].do(next)
				for name, values := range got.header {
					w.Header()[name] = values
				}
				w.WriteHeader(got.status)
				_, _ = io.WriteString(w, got.body)
			})
		}
		hops[depth-1].setHandlers(shedWithMarker)
		started := time.Now()
		got := hops[0].call("GET", "one")
		g.Expect(got.header.Get("Kestrel-Outcome")).To(Equal("not-run"))
		g.Expect(hops[depth-1].runCount("one")).To(Equal(1 + depth*(attempts-1)))
		g.Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
	})
}
