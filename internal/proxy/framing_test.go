package proxy_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// receivedRequest holds what a back end parsed from a request.
type receivedRequest struct {
	path, body, secret, callID string
	length                     int64
}

// sendRaw writes raw bytes to the listener for callers. It returns the status
// codes of all responses until the connection is closed or is idle for a minute.
func (m *mesh) sendRaw(t *testing.T, raw string) []int {
	connection, err := m.network.dial(t.Context(), "memory", "outbound:80")
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	go func() { _, _ = io.WriteString(connection, raw) }()
	_ = connection.SetReadDeadline(time.Now().Add(time.Minute))
	replies := bufio.NewReader(connection)
	var statuses []int
	for {
		reply, err := http.ReadResponse(replies, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, reply.Body)
		statuses = append(statuses, reply.StatusCode)
	}
}

// TestRequestSmuggling sends ambiguous and malformed framing. The back end must
// receive only requests that the proxy has parsed itself, each with the proxy's
// own call ID, secret and framing, and never a request hidden in another one.
func TestRequestSmuggling(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: " + hostName + "\r\n\r\n"
	cases := []struct {
		name     string
		head     string
		body     string
		statuses []int
		bodies   []string
	}{
		{"counted", "Content-Length: 4", "body", []int{200}, []string{"body"}},
		{"Content-Length and chunked", "Content-Length: 4\r\nTransfer-Encoding: chunked", "3\r\nabc\r\n0\r\n\r\n", []int{200}, []string{"abc"}},
		{"Content-Length longer than the chunked body", "Content-Length: 60\r\nTransfer-Encoding: chunked", "0\r\n\r\n" + hidden, []int{200, 200}, []string{"", ""}},
		{"two Content-Length headers", "Content-Length: 0\r\nContent-Length: 48", hidden, []int{400}, nil},
		{"two lengths in one Content-Length", "Content-Length: 0, 48", hidden, []int{400}, nil},
		{"the same length twice", "Content-Length: 4\r\nContent-Length: 4", "body", []int{200}, []string{"body"}},
		{"a signed length", "Content-Length: +4", "body", []int{400}, nil},
		{"an unknown transfer coding", "Transfer-Encoding: xchunked", "0\r\n\r\n" + hidden, []int{501}, nil},
		{"two transfer codings", "Transfer-Encoding: gzip, chunked", "0\r\n\r\n", []int{501}, nil},
		{"two Transfer-Encoding headers", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity", "0\r\n\r\n", []int{501}, nil},
		{"a space before the colon", "Transfer-Encoding : chunked", "0\r\n\r\n", []int{400}, nil},
		{"a chunk size that overflows", "Transfer-Encoding: chunked", "10000000000000000\r\nabc\r\n0\r\n\r\n", []int{502}, nil},
		{"mesh headers listed in Connection", "Connection: Kestrel-Service, Kestrel-Call-Id, Kestrel-Deadline-Ms, Authorization, Host, Content-Length\r\nContent-Length: 4", "body", []int{200}, []string{"body"}},
		{"forged and folded mesh headers", "X-Folded: a\r\n Kestrel-Call-Id: forged\r\nKestrel-Call-Id: forged\r\nAuthorization: forged\r\nContent-Length: 4", "body", []int{200}, []string{"body"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				testMesh := newMesh(1, nil)
				defer testMesh.close()
				var arrived []receivedRequest
				testMesh.setHandlers(func(w http.ResponseWriter, r *http.Request) {
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					arrived = append(arrived, receivedRequest{
						path: r.URL.Path, body: string(body), length: r.ContentLength,
						secret: strings.Join(r.Header["Authorization"], "|"), callID: strings.Join(r.Header["Kestrel-Call-Id"], "|"),
					})
					answerOK(w, r)
				})
				statuses := testMesh.sendRaw(t, "POST /start HTTP/1.1\r\nHost: "+hostName+"\r\n"+test.head+"\r\n\r\n"+test.body)
				g.Expect(statuses).To(Equal(test.statuses))
				g.Expect(arrived).To(HaveLen(len(test.bodies)))
				calls := map[string]bool{}
				for index, request := range arrived {
					g.Expect(request.body).To(Equal(test.bodies[index]))
					g.Expect(request.secret).To(Equal("Bearer secret"))
					g.Expect(request.callID).To(MatchRegexp(`^[0-9a-z]+-[0-9a-z]+$`))
					calls[request.callID] = true
				}
				g.Expect(calls).To(HaveLen(len(arrived)))
			})
		})
	}
}

// TestRestOfMalformedBodyIsNotParsedAsRequest sends a malformed chunk after the
// response has begun. Nothing that follows on the connection may be parsed as a
// request.
func TestRestOfMalformedBodyIsNotParsedAsRequest(t *testing.T) {
	for _, rest := range []string{"10000000000000000\r\n", "zz\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			testMesh := newMesh(1, nil)
			defer testMesh.close()
			var paths []string
			testMesh.setHandlers(func(w http.ResponseWriter, r *http.Request) {
				paths = append(paths, r.URL.Path)
				_ = http.NewResponseController(w).EnableFullDuplex()
				answerOK(w, r)
			})
			connection, err := testMesh.network.dial(t.Context(), "memory", "outbound:80")
			g.Expect(err).NotTo(HaveOccurred())
			defer connection.Close()
			_, err = io.WriteString(connection, "POST /start HTTP/1.1\r\nHost: "+hostName+"\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			replies := bufio.NewReader(connection)
			reply, err := http.ReadResponse(replies, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(reply.StatusCode).To(Equal(200))
			go func() {
				_, _ = io.WriteString(connection, rest+"GET /hidden HTTP/1.1\r\nHost: "+hostName+"\r\n\r\n")
			}()
			body, err := io.ReadAll(reply.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal("ok"))
			_, err = http.ReadResponse(replies, nil)
			g.Expect(err).To(HaveOccurred())
			g.Expect(paths).To(Equal([]string{"/start"}))
		})
	}
}

// TestRestOfRefusedBodyIsNotParsedAsRequest sends a request that is refused before
// its body has arrived. A second request on the connection may be answered only
// if the body of the first one arrived completely.
func TestRestOfRefusedBodyIsNotParsedAsRequest(t *testing.T) {
	const next = "GET /next HTTP/1.1\r\nHost: " + hostName + "\r\n\r\n"
	cases := []struct {
		name, head, rest string
		wait             time.Duration
		answered         bool
	}{
		{"whole", "Content-Length: 8", "more", 0, true},
		{"whole and chunked", "Transfer-Encoding: chunked", "0\r\n\r\n", 0, true},
		{"incomplete, then another request", "Content-Length: 8", "", 5 * time.Second, false},
		{"a broken chunk", "Transfer-Encoding: chunked", "zz\r\n", 0, false},
		{"not requested with 100 Continue", "Expect: 100-continue\r\nContent-Length: 8", "", 0, false},
	}
	for _, refused := range cases {
		t.Run(refused.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				testMesh := newMesh(1, nil)
				defer testMesh.close()
				var paths []string
				testMesh.setHandlers(func(w http.ResponseWriter, r *http.Request) {
					paths = append(paths, r.URL.Path)
					answerOK(w, r)
				})
				connection, err := testMesh.network.dial(t.Context(), "memory", "outbound:80")
				g.Expect(err).NotTo(HaveOccurred())
				defer connection.Close()
				begin := "half"
				if strings.Contains(refused.head, "chunked") {
					begin = "4\r\nhalf\r\n"
				}
				if strings.Contains(refused.head, "Expect") {
					begin = ""
				}
				_, err = io.WriteString(connection, "POST /start HTTP/1.1\r\nHost: nowhere\r\n"+refused.head+"\r\n\r\n"+begin)
				g.Expect(err).NotTo(HaveOccurred())
				replies := bufio.NewReader(connection)
				started := time.Now()
				reply, err := http.ReadResponse(replies, nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(reply.StatusCode).To(Equal(404))
				g.Expect(time.Since(started)).To(BeZero())
				body, err := io.ReadAll(reply.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(body)).To(HavePrefix("not-run: "))
				time.Sleep(refused.wait)
				go func() { _, _ = io.WriteString(connection, refused.rest+next) }()
				second, err := http.ReadResponse(replies, nil)
				if !refused.answered {
					g.Expect(err).To(HaveOccurred())
					g.Expect(paths).To(BeEmpty())
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(second.StatusCode).To(Equal(200))
				g.Expect(paths).To(Equal([]string{"/next"}))
			})
		})
	}
}

// TestMalformedReplyIsNoAnswer guards against malformed replies of a back end that callers of kestrel-proxy get as
// answers.
func TestMalformedReplyIsNoAnswer(t *testing.T) {
	cases := []struct{ name, head string }{
		{"status 000", "HTTP/1.1 000 None\r\n"},
		{"status 600", "HTTP/1.1 600 None\r\n"},
		{"blank in a name", "HTTP/1.1 200 OK\r\nA Name: x\r\n"},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nA : x\r\n"},
		{"blank before a name", "HTTP/1.1 200 OK\r\nA: x\r\n B: y\r\n"},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nA\x01: x\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				testMesh := newMesh(1, nil)
				defer testMesh.close()
				testMesh.setHandlers(func(w http.ResponseWriter, _ *http.Request) {
					connection, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					_, _ = io.WriteString(connection, tc.head+"Content-Length: 2\r\n\r\nok")
					_ = connection.Close()
				})
				statuses := testMesh.sendRaw(t, "POST /start HTTP/1.1\r\nHost: "+hostName+"\r\nContent-Length: 0\r\n\r\n")
				NewWithT(t).Expect(statuses).To(Equal([]int{http.StatusBadGateway}))
			})
		})
	}
}
