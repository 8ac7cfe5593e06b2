package proxy_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestBidirectionalStreaming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(1, nil)
		defer testMesh.close()
		testMesh.setHandlers(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			lines := bufio.NewScanner(r.Body)
			for lines.Scan() {
				_, _ = io.WriteString(w, "echo "+lines.Text()+"\n")
				_ = http.NewResponseController(w).Flush()
			}
		})
		reader, writer := io.Pipe()
		request := testMesh.request("POST", "one")
		request.Body = reader
		go func() { _, _ = io.WriteString(writer, "first\n") }()
		response, err := testMesh.client.Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		g.Expect(lines.Scan()).To(BeTrue())
		g.Expect(lines.Text()).To(Equal("echo first"))
		_, _ = io.WriteString(writer, "second\n")
		g.Expect(lines.Scan()).To(BeTrue())
		g.Expect(lines.Text()).To(Equal("echo second"))
		_ = writer.Close()
		g.Expect(lines.Scan()).To(BeFalse())
		g.Expect(lines.Err()).NotTo(HaveOccurred())
	})
}

func TestTrailersInBothDirections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(1, nil)
		defer testMesh.close()
		var arrived http.Header
		testMesh.setHandlers(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Trailer", "Checksum")
			body, _ := io.ReadAll(r.Body)
			arrived = r.Trailer
			_, _ = w.Write(body)
			w.Header().Set("Checksum", r.Trailer.Get("Request-Checksum"))
			w.Header().Set(http.TrailerPrefix+"Unannounced", "1")
			w.Header().Set(http.TrailerPrefix+"Kestrel-Outcome", "not-run")
		})
		request := testMesh.request("POST", "one")
		request.Body = io.NopCloser(strings.NewReader("body"))
		request.ContentLength = -1
		request.Trailer = http.Header{"Request-Checksum": {"42"}, "Kestrel-Call-Id": {"forged"}, "Authorization": {"forged"}}
		got := testMesh.do(request)
		g.Expect(arrived).To(Equal(http.Header{"Request-Checksum": {"42"}}))
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.body).To(Equal("body"))
		g.Expect(got.trailer).To(Equal(http.Header{"Checksum": {"42"}, "Unannounced": {"1"}}))
		time.Sleep(5 * time.Second)
		g.Expect(testMesh.call("GET", "next").err).NotTo(HaveOccurred())
		testMesh.network.mutex.Lock()
		defer testMesh.network.mutex.Unlock()
		g.Expect(testMesh.network.dials["outbound:80"]).To(Equal(1), "a streamed request must not use up its connection")
	})
}

func TestInformationalResponsesAreForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(1, nil)
		defer testMesh.close()
		testMesh.setHandlers(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Link", "</style.css>")
			w.Header().Set("Kestrel-Outcome", "not-run")
			w.Header().Set("Authorization", r.Header.Get("Authorization"))
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Del("Link")
			answerOK(w, r)
		})
		var early http.Header
		trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
			g.Expect(code).To(Equal(103))
			early = http.Header(header).Clone()
			return nil
		}}
		request := testMesh.request("GET", "one")
		got := testMesh.do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
		g.Expect(got.body).To(Equal("ok"))
		g.Expect(early).To(Equal(http.Header{"Link": {"</style.css>"}}))
		g.Expect(got.header).NotTo(HaveKey("Link"))
	})
}

func TestExpectContinue(t *testing.T) {
	for _, accepts := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			testMesh := newMesh(1, nil)
			defer testMesh.close()
			testMesh.client.Transport.(*http.Transport).ExpectContinueTimeout = time.Minute
			testMesh.setHandlers(func(w http.ResponseWriter, r *http.Request) {
				if !accepts {
					http.Error(w, "no", http.StatusExpectationFailed)
					return
				}
				_, _ = io.Copy(w, r.Body)
			})
			request := testMesh.request("POST", "one")
			body := strings.NewReader("body")
			request.Body, request.ContentLength = io.NopCloser(body), 4
			request.Header.Set("Expect", "100-continue")
			got := testMesh.do(request)
			g.Expect(got.err).NotTo(HaveOccurred())
			if accepts {
				g.Expect(got.body).To(Equal("body"))
			} else {
				g.Expect(got.status).To(Equal(http.StatusExpectationFailed))
				g.Expect(body.Len()).To(Equal(4), "the body must not be requested")
			}
		})
	}
}

// TestUnsupportedRequestsAreRefused checks that requests which the proxy does not
// support are refused as not run.
func TestUnsupportedRequestsAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		change func(*http.Request)
		status int
	}{
		{"upgrade", func(r *http.Request) {
			r.Header.Set("Connection", "Upgrade")
			r.Header.Set("Upgrade", "websocket")
		}, 501},
		{"dot segments", func(r *http.Request) { r.URL.Opaque = "/a/../b" }, 400},
		{"encoded dot segments", func(r *http.Request) { r.URL.Opaque = "/a/%2e%2e/b" }, 400},
		{"empty segment", func(r *http.Request) { r.URL.Opaque = "/a//b" }, 400},
		{"unknown host", func(r *http.Request) { r.Host = "elsewhere.example" }, 404},
		{"body too large", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("x")), 1<<40
			r.Header.Set("Expect", "100-continue")
		}, 413},
	}
	for _, refused := range cases {
		t.Run(refused.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				testMesh := newMesh(1, nil)
				defer testMesh.close()
				testMesh.client.Transport.(*http.Transport).ExpectContinueTimeout = time.Minute
				request := testMesh.request("POST", "one")
				refused.change(request)
				got := testMesh.do(request)
				g.Expect(got.status).To(Equal(refused.status))
				g.Expect(got.header.Get("Kestrel-Outcome")).To(Equal("not-run"))
				g.Expect(testMesh.runCount("one")).To(BeZero())
			})
		})
	}
}

// TestEarlyResponseToStreamedRequest checks that a call is unaffected by unread
// body bytes of an earlier one, whose response was sent before its body was read.
func TestEarlyResponseToStreamedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(1, nil)
		defer testMesh.close()
		testMesh.setHandlers(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			answerOK(w, r)
		})
		for _, length := range []int{1 << 10, 32 << 10, 1 << 20} {
			request := testMesh.request("POST", "early")
			request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, length))), -1
			got := testMesh.do(request)
			g.Expect(got.err).NotTo(HaveOccurred())
			g.Expect(got.body).To(Equal("ok"))
			testMesh.setHandlers(answerOK)
			time.Sleep(3 * time.Second)
			g.Expect(testMesh.call("POST", "next").body).To(Equal("ok"))
		}
	})
}

// TestSlowUploadHoldsNoSlot checks that a short body is read completely before the
// request takes a slot.
func TestSlowUploadHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(1, withOneSlot(0))
		defer testMesh.close()
		reader, writer := io.Pipe()
		slow := testMesh.request("POST", "slow")
		slow.Body, slow.ContentLength = reader, 4
		uploading := testMesh.startCall(slow)
		_, _ = io.WriteString(writer, "bo")
		synctest.Wait()
		release := make(chan struct{})
		testMesh.setHandlers(answerAfter(release))
		quick := testMesh.startCall(testMesh.request("POST", "quick"))
		synctest.Wait()
		connection, err := testMesh.network.dial(t.Context(), "", "outbound:80")
		g.Expect(err).NotTo(HaveOccurred())
		defer connection.Close()
		_, _ = io.WriteString(connection, "POST /start HTTP/1.1\r\nHost: "+hostName+"\r\nContent-Length: 4\r\n\r\n")
		started := time.Now()
		shed, err := http.ReadResponse(bufio.NewReader(connection), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(shed.StatusCode).To(Equal(503))
		g.Expect(time.Since(started)).To(BeNumerically("<=", time.Millisecond), "the request must be refused before its body is read")
		close(release)
		g.Expect((<-quick).body).To(Equal("ok"))
		_, _ = io.WriteString(writer, "dy")
		_ = writer.Close()
		g.Expect((<-uploading).body).To(Equal("ok"))
	})
}

// TestStalledCallerDoesNotHoldExchange checks that an exchange ends when its caller
// stops sending or reading.
func TestStalledCallerDoesNotHoldExchange(t *testing.T) {
	for _, stops := range []string{"sending a short body", "sending a streamed body", "reading"} {
		t.Run(stops, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				testMesh := newMesh(1, nil)
				defer testMesh.close()
				testMesh.setHandlers(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = w.Write(make([]byte, 1<<20))
				})
				connection, err := testMesh.network.dial(t.Context(), "", "outbound:80")
				g.Expect(err).NotTo(HaveOccurred())
				defer connection.Close()
				head := "POST /start HTTP/1.1\r\nHost: " + hostName + "\r\n"
				switch stops {
				case "sending a short body":
					head += "Content-Length: 10\r\n\r\nhalf"
				case "sending a streamed body":
					head += "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
				default:
					head += "\r\n"
				}
				_, err = io.WriteString(connection, head)
				g.Expect(err).NotTo(HaveOccurred())
				if stops != "reading" {
					response, err := http.ReadResponse(bufio.NewReader(connection), nil)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(response.StatusCode).To(BeElementOf(408, 504))
				}
				time.Sleep(3 * time.Second)
				synctest.Wait()
				for _, target := range testMesh.proxies() {
					outbound, inbound := target.InFlight()
					g.Expect(outbound + inbound).To(BeZero())
				}
			})
		})
	}
}
