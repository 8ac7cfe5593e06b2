package pipelining

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
)

// newHoldingWriter returns the writer of an answer with a request started behind it.
func newHoldingWriter(pipeline *Pipeline) *holdingWriter {
	conn := newConnection(nil, pipeline)
	conn.early[1] = &earlyRequest{}
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	return &holdingWriter{ResponseWriter: httptest.NewRecorder(), connection: conn, request: request}
}

// TestHeldAnswersStayWithinMemory checks the bounds on held answers of a connection and of a pipeline,
// and that the memory is returned.
func TestHeldAnswersStayWithinMemory(t *testing.T) {
	g := NewWithT(t)
	pipeline := New(Options{}, http.NotFoundHandler())
	newWriter := func() *holdingWriter { return newHoldingWriter(pipeline) }
	var writers []*holdingWriter
	for range maxTotalHeldBytes / maxHeldBytes {
		g.Expect(pipeline.held.Load() <= maxTotalHeldBytes/2).To(Equal(newConnection(nil, pipeline).mayStartEarly()))
		writer := newWriter()
		_, err := writer.Write(make([]byte, maxHeldBytes))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(writer.holding).To(BeTrue())
		writers = append(writers, writer)
	}
	g.Expect(pipeline.held.Load()).To(Equal(int64(maxTotalHeldBytes)))
	beyond := newWriter()
	_, err := beyond.Write(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(beyond.holding).To(BeFalse())
	_, err = writers[0].Write(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(writers[0].holding).To(BeFalse())
	g.Expect(writers[0].ResponseWriter.(*httptest.ResponseRecorder).Body.Len()).To(Equal(maxHeldBytes + 1))
	g.Expect(writers[1].discard()).To(BeTrue())
	for _, writer := range writers[2:] {
		writer.finish()
	}
	g.Expect(pipeline.held.Load()).To(BeZero())
}

// TestHeldMemoryIsReturnedWhenClientLeaves checks that an answer that is aborted because its client has
// left is not replaced, and that its memory is returned; the same for a handler that fails.
func TestHeldMemoryIsReturnedWhenClientLeaves(t *testing.T) {
	left, leave := context.WithCancel(context.Background())
	leave()
	cases := map[string]struct {
		client context.Context
		cause  any
	}{
		"client has left":  {left, http.ErrAbortHandler},
		"handler panicked": {context.Background(), "out of range"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			pipeline := New(Options{}, http.NotFoundHandler())
			writer := newHoldingWriter(pipeline)
			g.Expect(func() {
				defer writer.replaceAborted(test.client)
				_, _ = writer.Write(make([]byte, 100<<10))
				panic(test.cause)
			}).To(PanicWith(test.cause))
			g.Expect(writer.ResponseWriter.(*httptest.ResponseRecorder).Body.Len()).To(BeZero())
			g.Expect(pipeline.held.Load()).To(BeZero())
		})
	}
}

// TestSecondHeaderDoesNotReleaseHeldAnswer checks that a header that comes after the first one is not
// passed on in place of the held one.
func TestSecondHeaderDoesNotReleaseHeldAnswer(t *testing.T) {
	g := NewWithT(t)
	writer := newHoldingWriter(New(Options{}, http.NotFoundHandler()))
	recorder := writer.ResponseWriter.(*httptest.ResponseRecorder)
	writer.WriteHeader(http.StatusTeapot)
	writer.WriteHeader(http.StatusEarlyHints)
	writer.WriteHeader(http.StatusInternalServerError)
	g.Expect(writer.FlushError()).To(Succeed())
	g.Expect(recorder.Flushed).To(BeFalse())
	writer.finish()
	g.Expect(recorder.Code).To(Equal(http.StatusTeapot))
}
