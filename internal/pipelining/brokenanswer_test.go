package pipelining_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const longAnswerBytes = 200 << 10

// breakOff writes half of a long answer and aborts it. length is its Content-Length, empty for none.
func breakOff(length string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		if length != "" {
			w.Header().Set("Content-Length", length)
		}
		w.Header().Set("X-Signature", "of the broken answer")
		_, _ = io.WriteString(w, strings.Repeat("s", longAnswerBytes/2))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// TestBrokenLongAnswerLosesNoRequestsBehind checks that requests that have started behind a long
// answer are answered when it is broken off.
func TestBrokenLongAnswerLosesNoRequestsBehind(t *testing.T) {
	cases := map[string]string{"stated length": strconv.Itoa(longAnswerBytes), "no stated length": ""}
	for name, length := range cases {
		t.Run(name, func(t *testing.T) {
			served := startServer(t)
			connected := served.connect()
			connected.send(get("/free/1"), get("/free/2"), get("/free/3"))
			served.awaitBegun(3)
			served.releaseWith("/free/1", breakOff(length))
			served.release("/free/2")
			served.release("/free/3")
			response, content := connected.receive()
			connected.g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
			connected.g.Expect(response.Header).NotTo(HaveKey("X-Signature"))
			connected.g.Expect(content).To(BeEmpty())
			connected.expect("/free/2", "/free/3")
			connected.g.Eventually(served.early.Load).Should(BeZero())
		})
	}
}

// TestBrokenEarlyAnswerLosesNoRequestsBehind breaks off the long answer of a request that was itself
// started early.
func TestBrokenEarlyAnswerLosesNoRequestsBehind(t *testing.T) {
	served := startServer(t)
	connected := served.connect()
	connected.send(get("/free/1"), get("/free/2"), get("/free/3"))
	served.awaitBegun(3)
	served.releaseWith("/free/2", breakOff(strconv.Itoa(longAnswerBytes)))
	served.release("/free/1")
	served.release("/free/3")
	connected.expect("/free/1")
	response, _ := connected.receive()
	connected.g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
	connected.expect("/free/3")
}

// TestRequestsWaitForStreamedAnswer checks that no request starts behind an answer that the client
// already receives, so that none is lost when it is broken off.
func TestRequestsWaitForStreamedAnswer(t *testing.T) {
	for _, breaks := range []bool{true, false} {
		t.Run(fmt.Sprintf("breaks %v", breaks), func(t *testing.T) {
			served := startServer(t)
			connected := served.connect()
			connected.send(get("/free/1"))
			served.awaitBegun(1)
			proceed := make(chan struct{})
			served.releaseWith("/free/1", func(w http.ResponseWriter) {
				w.Header().Set("Content-Length", strconv.Itoa(longAnswerBytes))
				_, _ = io.WriteString(w, strings.Repeat("s", longAnswerBytes/2))
				_ = http.NewResponseController(w).Flush()
				<-proceed
				if breaks {
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, strings.Repeat("s", longAnswerBytes/2))
			})
			response, err := http.ReadResponse(connected.reader, nil)
			connected.g.Expect(err).NotTo(HaveOccurred())
			connected.send(get("/free/2"), get("/free/3"))
			connected.g.Consistently(served.begun, "50ms").ShouldNot(Receive())
			close(proceed)
			content, err := io.ReadAll(response.Body)
			if breaks {
				connected.g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
				connected.g.Consistently(served.begun, "50ms").ShouldNot(Receive())
				return
			}
			connected.g.Expect(err).NotTo(HaveOccurred())
			connected.g.Expect(content).To(HaveLen(longAnswerBytes))
			connected.g.Expect(served.awaitBegun(2)).To(ConsistOf("/free/2", "/free/3"))
			served.release("/free/2")
			served.release("/free/3")
			connected.expect("/free/2", "/free/3")
		})
	}
}

// TestAnswerBeyondHeldBytesIsDelivered checks that an answer that is too long to be held reaches the
// client unchanged, and so do the answers behind it.
func TestAnswerBeyondHeldBytesIsDelivered(t *testing.T) {
	const piece, pieces = 48 << 10, 64 // 3 MiB
	for _, length := range []string{strconv.Itoa(piece * pieces), ""} {
		t.Run("length "+length, func(t *testing.T) {
			served := startServer(t)
			connected := served.connect()
			connected.send(get("/free/1"), get("/free/2"))
			served.awaitBegun(2)
			served.release("/free/2")
			served.releaseWith("/free/1", func(w http.ResponseWriter) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				for number := range pieces {
					_, _ = io.WriteString(w, strings.Repeat(string(rune('0'+number)), piece))
					_ = http.NewResponseController(w).Flush()
				}
			})
			_, content := connected.receive()
			connected.g.Expect(content).To(HaveLen(piece * pieces))
			for number := range pieces {
				connected.g.Expect(strings.Count(content[number*piece:(number+1)*piece], string(rune('0'+number)))).To(Equal(piece))
			}
			connected.expect("/free/2")
		})
	}
}

// TestHeldAnswerKeepsTrailers checks the trailers of an answer that was held.
func TestHeldAnswerKeepsTrailers(t *testing.T) {
	served := startServer(t)
	connected := served.connect()
	connected.send(get("/free/1"), get("/free/2"))
	served.awaitBegun(2)
	served.release("/free/2")
	long := strings.Repeat("0123456789", longAnswerBytes/10)
	served.releaseWith("/free/1", func(w http.ResponseWriter) {
		w.Header().Set("Trailer", "X-End")
		_, _ = io.WriteString(w, long)
		_ = http.NewResponseController(w).Flush()
		w.Header().Set("X-End", "whole")
	})
	response, content := connected.receive()
	connected.g.Expect(content).To(Equal(long))
	connected.g.Expect(response.Header).NotTo(HaveKey("X-End"))
	connected.g.Expect(response.Trailer.Get("X-End")).To(Equal("whole"))
	connected.expect("/free/2")
}

// TestWriteDeadlineEndsEarlyAnswer checks that a handler that started early can end a write to a client
// that does not read.
func TestWriteDeadlineEndsEarlyAnswer(t *testing.T) {
	served := startServer(t)
	connected := served.connect()
	connected.send(get("/free/1"), get("/free/2"))
	served.awaitBegun(2)
	written := make(chan error, 1)
	served.releaseWith("/free/2", func(w http.ResponseWriter) {
		var err error
		for err == nil {
			stop := time.AfterFunc(50*time.Millisecond, func() {
				_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
			})
			_, err = w.Write(make([]byte, 1<<20))
			stop.Stop()
		}
		written <- err
	})
	served.release("/free/1")
	connected.g.Eventually(written, "20s").Should(Receive(MatchError(os.ErrDeadlineExceeded)))
}

// TestRequestsWaitBehindAnswersThatExceedTheHold checks that once an answer was too long to be held, no request
// starts behind the next one of that kind, so that none is lost when it is broken off.
func TestRequestsWaitBehindAnswersThatExceedTheHold(t *testing.T) {
	for _, length := range []int{2 << 20, -1} {
		t.Run(fmt.Sprintf("length %d", length), func(t *testing.T) {
			served := startServer(t)
			lengthy := func(breaks bool) func(http.ResponseWriter) {
				return func(w http.ResponseWriter) {
					if length > 0 {
						w.Header().Set("Content-Length", strconv.Itoa(length))
					}
					_, _ = io.WriteString(w, strings.Repeat("s", 1<<20))
					if breaks {
						panic(http.ErrAbortHandler)
					}
					_, _ = io.WriteString(w, strings.Repeat("s", 1<<20))
				}
			}
			connected := served.connect()
			connected.send(get("/free/long"))
			served.awaitBegun(1)
			served.releaseWith("/free/long", lengthy(false))
			connected.expect(strings.Repeat("s", 2<<20))
			connected.send(get("/free/1"), get("/free/long"), get("/free/2"))
			connected.g.Expect(served.awaitBegun(2)).To(ConsistOf("/free/1", "/free/long"))
			served.release("/free/1")
			connected.expect("/free/1")
			connected.g.Consistently(served.begun, "50ms").ShouldNot(Receive())
			served.releaseWith("/free/long", lengthy(true))
			response, err := http.ReadResponse(connected.reader, nil)
			connected.g.Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(response.Body)
			connected.g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			connected.g.Consistently(served.begun, "50ms").ShouldNot(Receive())
		})
	}
}

// TestNothingStartsBehindUpload checks that a request behind an upload is not passed on when the answer
// to the upload is broken off.
func TestNothingStartsBehindUpload(t *testing.T) {
	served := startServer(t)
	connected := served.connect()
	connected.send("POST /free/upload HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", get("/free/2"))
	connected.g.Expect(served.awaitBegun(1)).To(Equal([]string{"/free/upload"}))
	served.releaseWith("/free/upload", breakOff(strconv.Itoa(longAnswerBytes)))
	response, err := http.ReadResponse(connected.reader, nil)
	connected.g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(response.Body)
	connected.g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	connected.g.Consistently(served.begun, "50ms").ShouldNot(Receive())
}

// TestStoppingServerAnswersBehindBrokenAnswer breaks off the answer of a server that closes its
// connections, as it does during a planned stop.
func TestStoppingServerAnswersBehindBrokenAnswer(t *testing.T) {
	served := startServer(t)
	connected := served.connect()
	connected.send(get("/free/1"), get("/free/2"))
	served.awaitBegun(2)
	served.releaseWith("/free/1", func(w http.ResponseWriter) {
		w.Header().Set("Connection", "close")
		breakOff("")(w)
	})
	served.releaseWith("/free/2", func(w http.ResponseWriter) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "/free/2")
	})
	response, _ := connected.receive()
	connected.g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
	connected.g.Expect(response.Close).To(BeFalse())
	response, content := connected.receive()
	connected.g.Expect(content).To(Equal("/free/2"))
	connected.g.Expect(response.Close).To(BeTrue())
}

// TestBrokenAnswerToOldClientIsReset checks that an answer that ends with its connection does not look
// whole when it is broken off, also while connections close gently.
func TestBrokenAnswerToOldClientIsReset(t *testing.T) {
	for _, gently := range []bool{false, true} {
		t.Run(fmt.Sprintf("closes gently %v", gently), func(t *testing.T) {
			served := startServerWith(t, func() bool { return gently })
			connected := served.connect()
			connected.send("GET /free/1 HTTP/1.0\r\nHost: h\r\n\r\n")
			served.awaitBegun(1)
			served.releaseWith("/free/1", breakOff(""))
			_, err := io.ReadAll(connected.reader)
			connected.g.Expect(err).To(MatchError(syscall.ECONNRESET))
			connected = served.connect()
			connected.send("GET /free/2 HTTP/1.0\r\nHost: h\r\n\r\n")
			served.awaitBegun(1)
			served.releaseWith("/free/2", func(w http.ResponseWriter) {
				_, _ = io.WriteString(w, strings.Repeat("s", longAnswerBytes))
			})
			content, err := io.ReadAll(connected.reader)
			connected.g.Expect(err).NotTo(HaveOccurred())
			connected.g.Expect(strings.Count(string(content), "s")).To(BeNumerically(">=", longAnswerBytes))
		})
	}
}

// TestDeadlineDuringHeldAnswerLosesNoRequestsBehind sets the write deadline of a held answer, as a
// handler does whose time is over, before or after its last part. The handler aborts the answer or not.
func TestDeadlineDuringHeldAnswerLosesNoRequestsBehind(t *testing.T) {
	for _, size := range []int{10 << 10, longAnswerBytes} {
		for _, early := range []bool{true, false} {
			for _, aborts := range []bool{true, false} {
				t.Run(fmt.Sprintf("size %d, early %v, aborts %v", size, early, aborts), func(t *testing.T) {
					served := startServer(t)
					connected := served.connect()
					connected.send(get("/free/1"), get("/free/2"))
					served.awaitBegun(2)
					served.release("/free/2")
					served.releaseWith("/free/1", func(w http.ResponseWriter) {
						w.Header().Set("Content-Length", strconv.Itoa(size))
						_, _ = io.WriteString(w, strings.Repeat("s", size/2))
						if early {
							_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
						}
						_, _ = io.WriteString(w, strings.Repeat("s", size/2))
						if !early {
							_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
						}
						if aborts {
							panic(http.ErrAbortHandler)
						}
					})
					response, content := connected.receive()
					if aborts {
						connected.g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
					} else {
						connected.g.Expect(content).To(Equal(strings.Repeat("s", size)))
					}
					connected.expect("/free/2")
				})
			}
		}
	}
}
