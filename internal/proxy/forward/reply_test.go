package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// slowDeadlineWriter takes a second to set a write deadline.
type slowDeadlineWriter struct {
	http.ResponseWriter
	set atomic.Bool
}

func (w *slowDeadlineWriter) SetWriteDeadline(time.Time) error {
	time.Sleep(time.Second)
	w.set.Store(true)
	return nil
}

// endsWithContext is a body that breaks off when the context ends.
type endsWithContext struct{ ctx context.Context }

func (b endsWithContext) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, io.ErrUnexpectedEOF
}

func (b endsWithContext) Close() error { return nil }

// TestDeadlineOfAReplySparesTheNextOne guards against a write deadline that is set after its reply was
// given up, when the connection may carry the next one.
func TestDeadlineOfAReplySparesTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		writer := &slowDeadlineWriter{ResponseWriter: httptest.NewRecorder()}
		reply := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: endsWithContext{ctx}}
		g.Expect(WriteReply(ctx, writer, reply, "")).NotTo(Succeed())
		g.Expect(writer.set.Load()).To(BeTrue())
	})
}
