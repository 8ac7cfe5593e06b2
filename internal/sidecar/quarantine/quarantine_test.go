package quarantine_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/quarantine"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// advance lets news go round.
func (f *fleet) advance() { f.events.runFor(100 * time.Millisecond) }

// crash tells of an end at a node, under a request on trial and another one.
func (n *fleetNode) reportCrash(endpoint string, trial *fingerprint.Fingerprint, beside ...fingerprint.Fingerprint) {
	crash := roster.Crash{Endpoint: endpoint, Service: "one", Running: beside, Trial: trial}
	if trial != nil {
		crash.Running = append(crash.Running, *trial)
	}
	n.quarantine.Ended(crash)
	n.fleet.advance()
}

// countQuarantining counts the nodes that hold a request back.
func (f *fleet) countQuarantining(print fingerprint.Fingerprint) (count int) {
	for _, node := range f.nodes {
		if node.quarantine.Holds(print) {
			count++
		}
	}
	return count
}

// TestQuarantineReachesAllNodes and rests with those that saw the ends; what was beside is cleared
// by its good end, and nothing of it is told on.
func TestQuarantineReachesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(4, 1, 0)
		harmful, harmless := fingerprintOf(1), fingerprintOf(2)
		f.nodes[0].reportCrash("i-0", nil, harmful, harmless)
		for _, node := range f.nodes {
			g.Expect(node.quarantine.Suspects(harmless)).To(BeTrue())
			g.Expect(node.quarantine.Idle()).To(BeFalse())
		}
		f.nodes[2].quarantine.Survived(harmless)
		f.advance()
		g.Expect(f.nodes[3].quarantine.Suspects(harmless)).To(BeFalse())
		g.Expect(f.countQuarantining(harmful)).To(BeZero())

		f.nodes[1].reportCrash("i-1", &harmful)
		g.Expect(f.countQuarantining(harmful)).To(Equal(len(f.nodes)))
		g.Expect(f.countQuarantining(harmless)).To(BeZero())
		for i, node := range f.nodes {
			evidence := node.members.Own().Evidence
			if i > 1 {
				g.Expect(evidence).To(BeNil())
				continue
			}
			g.Expect(evidence.Crashes).To(BeEmpty())
			// Of the content and of the call.
			g.Expect(evidence.Quarantined).NotTo(BeEmpty())
		}
	})
}

// TestCrashIsBroadcastBeforeReturn: whoever waits for the end's evidence goes on when
// the peers have heard of it. A slow notice would let the next try of a harmful request run at a node
// that does not suspect it.
func TestCrashIsBroadcastBeforeReturn(t *testing.T) {
	g := NewWithT(t)
	members := roster.New(roster.Record{Node: "n-1", Epoch: 1, Counter: 1})
	var told []roster.Crash
	held := quarantine.New(quarantine.Options{
		Members: members, Broadcast: func() {}, Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
		BroadcastAndWait: func() { told = members.Own().Evidence.Crashes },
	})
	held.Ended(roster.Crash{Endpoint: "i-1", Service: "one", Running: []fingerprint.Fingerprint{fingerprintOf(1)}})
	g.Expect(told).To(HaveLen(1))

	told = nil
	held.Ended(roster.Crash{Endpoint: "i-1", Service: "one", Running: []fingerprint.Fingerprint{fingerprintOf(1)}})
	g.Expect(told).To(BeNil(), "it is no news")
}

// TestQuarantineOfOneCaller: where it does harm for one of them only, the other is served.
func TestQuarantineOfOneCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(3, 1, 0)
		harmful, harmless := fingerprintOf(1), fingerprintOf(1)
		harmless.Call = fingerprintOf(2).Call
		f.nodes[0].reportCrash("i-0", nil, harmful)
		f.nodes[1].quarantine.Survived(harmless)
		f.advance()
		g.Expect(f.nodes[2].quarantine.Suspects(harmful)).To(BeTrue())
		f.nodes[1].reportCrash("i-1", &harmful)
		g.Expect(f.countQuarantining(harmful)).To(Equal(len(f.nodes)))
		g.Expect(f.countQuarantining(harmless)).To(BeZero())
	})
}

// TestQuarantineOutlivesNodes: when both that saw the ends have gone, one of the others
// tells who comes new.
func TestQuarantineOutlivesNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(4, 1, 0)
		for i, node := range f.nodes {
			node.members.Update(func(record roster.Record) (roster.Record, bool) {
				record.Endpoint = &roster.Endpoint{ID: string(rune('a' + i)), Service: "one", State: roster.Ready}
				return record, true
			})
			node.spread()
		}
		f.advance()
		harmful := fingerprintOf(1)
		f.nodes[0].reportCrash("a", nil, harmful)
		f.nodes[1].reportCrash("b", &harmful)
		for i, node := range f.nodes[:2] {
			node.members.Update(func(record roster.Record) (roster.Record, bool) {
				return record.MarkEnded(roster.Incarnation{ID: string(rune('a' + i))})
			})
			node.spread()
		}
		f.advance()
		fresh := newFleet(1, 2, 0).nodes[0]
		fresh.members.Merge(f.nodes[3].members.View().Records())
		g.Expect(fresh.quarantine.Holds(harmful)).To(BeTrue())
	})
}

// TestLift ends a verdict at all nodes, also at one that has heard of the ends and not of
// that; later ends make another one.
func TestLift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(3, 1, 0)
		harmful := fingerprintOf(1)
		f.nodes[0].reportCrash("i-0", nil, harmful)
		f.nodes[1].reportCrash("i-1", &harmful)
		late := f.nodes[0].members.View().Records()
		g.Expect(f.countQuarantining(harmful)).To(Equal(len(f.nodes)))

		for _, held := range f.nodes[2].quarantine.Quarantined() {
			g.Expect(f.nodes[2].lift(held.Digest.String())).To(Equal(http.StatusNoContent))
		}
		f.advance()
		g.Expect(f.countQuarantining(harmful)).To(BeZero())
		g.Expect(f.nodes[2].lift(harmful.Content.String())).To(Equal(http.StatusNotFound))
		g.Expect(f.nodes[2].lift("x")).To(Equal(http.StatusBadRequest))
		f.nodes[2].members.Merge(late)
		f.advance()
		g.Expect(f.countQuarantining(harmful)).To(BeZero())

		f.nodes[0].reportCrash("i-2", nil, harmful)
		g.Expect(f.countQuarantining(harmful)).To(BeZero())
		f.nodes[1].reportCrash("i-3", &harmful)
		g.Expect(f.countQuarantining(harmful)).To(Equal(len(f.nodes)))
	})
}

// lift asks the node as an operator does, and returns the status.
func (n *fleetNode) lift(digest string) int {
	recorder := httptest.NewRecorder()
	n.quarantine.ServeLift(recorder, httptest.NewRequest(http.MethodPost, quarantine.PathLift+"?digest="+digest, nil))
	return recorder.Code
}

// TestEvidenceRoundTrip keeps its meaning.
func TestEvidenceRoundTrip(t *testing.T) {
	g := NewWithT(t)
	harmful := fingerprintOf(1)
	sent := &roster.Evidence{
		Crashes:     []roster.Crash{{Endpoint: "i-0", Service: "one", Running: []fingerprint.Fingerprint{harmful}, Trial: &harmful}},
		Cleared:     []roster.Clearance{{Fingerprint: harmful, Endpoints: []string{"i-0"}}},
		Quarantined: []roster.Quarantined{{Digest: harmful.Content, Service: "one", Endpoints: []string{"i-0"}}},
	}
	encoded, err := json.Marshal(sent)
	g.Expect(err).NotTo(HaveOccurred())
	received := &roster.Evidence{}
	g.Expect(json.Unmarshal(encoded, received)).To(Succeed())
	g.Expect(received).To(Equal(sent))
}
