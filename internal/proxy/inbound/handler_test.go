package inbound_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/inbound"
)

// TestUnsolicitedBytesAreLogged guards against bytes of a back end that end a connection unnoticed.
func TestUnsolicitedBytesAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		core, logs := observer.New(zapcore.InfoLevel)
		handler := inbound.New(inbound.Options{
			Service: "one", Address: "backend:80", Logger: zap.New(core),
			Connections: forward.Limits{WarmIdle: 1, DialTimeout: time.Second, IdleTimeout: time.Second},
			Dial: func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() { _, _ = io.WriteString(far, "noise") }()
				return near, nil
			},
		})
		handler.Apply(&projection.Snapshot{Services: map[string]*projection.Service{"one": {Slots: 1, Connections: 1}}})
		synctest.Wait()
		lines := logs.FilterMessage("reply rejected").All()
		g.Expect(lines).To(HaveLen(1))
		g.Expect(lines[0].ContextMap()).To(And(
			HaveKeyWithValue("peer", "backend:80"), HaveKeyWithValue("reason", string(forward.Unsolicited)),
			HaveKeyWithValue("bytes", BeEquivalentTo(len("noise"))),
		))
	})
}
