package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// heartbeatOf returns a heartbeat of a ready back end of the service.
func heartbeatOf(id, service string, sequence uint64) roster.Heartbeat {
	return roster.Heartbeat{Endpoint: roster.Endpoint{ID: id, Service: service, Version: "v1", Slots: 4, State: roster.Ready, Sequence: sequence}}
}

// TestRefusedHeartbeatsAreLoggedAndCounted checks what tells an operator whose heartbeat was refused
// and why.
func TestRefusedHeartbeatsAreLoggedAndCounted(t *testing.T) {
	cases := []struct {
		name    string
		beat    roster.Heartbeat
		refusal roster.Refusal
	}{
		{"a service that nobody names", heartbeatOf("i-1", "nobody's", 7), roster.RefusedService},
		{"an incarnation that has ended", heartbeatOf("i-ended", "alpha", 7), roster.RefusedEnded},
		{"an earlier heartbeat of the back end", heartbeatOf("i-0", "alpha", 7), roster.RefusedSequence},
		{"one heartbeat of another incarnation", heartbeatOf("i-1", "alpha", 7), roster.RefusedUnconfirmed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			core, logs := observer.New(zap.WarnLevel)
			node := newLoggingNode(t, zap.New(core))
			node.Deregister(t.Context(), roster.Incarnation{ID: "i-ended"})
			g.Expect(node.Heartbeat(t.Context(), heartbeatOf("i-0", "alpha", 8))).To(Succeed())
			before, heard := *node.members.Own(), node.lastHeartbeat.Load()

			tc.beat.WarmupLeft = time.Minute
			_ = node.Heartbeat(t.Context(), tc.beat) // whether the sender gets an error is not checked here
			g.Expect(*node.members.Own()).To(Equal(before))
			g.Expect(node.lastHeartbeat.Load()).To(Equal(heard))
			g.Expect(node.warmedUp.Load()).To(BeZero())
			g.Expect(testutil.CollectAndCount(node.metrics.refusedHeartbeats)).To(Equal(1))
			g.Expect(testutil.ToFloat64(node.metrics.refusedHeartbeats.WithLabelValues(string(tc.refusal)))).To(Equal(1.0))
			lines := logs.FilterMessage("heartbeat refused").All()
			g.Expect(lines).To(HaveLen(1))
			g.Expect(lines[0].ContextMap()).To(Equal(map[string]any{
				"endpoint": tc.beat.ID, "service": tc.beat.Service, "sequence": uint64(7), "reason": string(tc.refusal),
			}))
		})
	}
}
