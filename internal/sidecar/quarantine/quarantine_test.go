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

// advance runs events until broadcasts have arrived.
func (f *fleet) advance() { f.events.runFor(100 * time.Millisecond) }

// reportCrash reports a crash at a node with a trial request and others running.
func (n *fleetNode) reportCrash(endpoint string, trial *fingerprint.Fingerprint, beside ...fingerprint.Fingerprint) {
	crash := roster.Crash{Endpoint: endpoint, Service: "one", Running: beside, Trial: trial}
	if trial != nil {
		crash.Running = append(crash.Running, *trial)
	}
	n.quarantine.RecordCrash(crash)
	n.fleet.advance()
}

// countQuarantining counts the nodes that have quarantined a request.
func (f *fleet) countQuarantining(print fingerprint.Fingerprint) (count int) {
	for _, node := range f.nodes {
		if node.quarantine.IsQuarantined(print) {
			count++
		}
	}
	return count
}

// TestQuarantineReachesAllNodes checks that a quarantined request is known to all nodes but
// published only by those whose back ends crashed, and that a harmless request is cleared by its
// completion and leaves no evidence.
func TestQuarantineReachesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(4, 1, 0)
		harmful, harmless := fingerprintOf(1), fingerprintOf(2)
		f.nodes[0].reportCrash("i-0", nil, harmful, harmless)
		for _, node := range f.nodes {
			g.Expect(node.quarantine.IsSuspect(harmless)).To(BeTrue())
			g.Expect(node.quarantine.Idle()).To(BeFalse())
		}
		f.nodes[2].quarantine.RecordSurvival(harmless)
		f.advance()
		g.Expect(f.nodes[3].quarantine.IsSuspect(harmless)).To(BeFalse())
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
			// One entry by content and one by call.
			g.Expect(evidence.Quarantined).NotTo(BeEmpty())
		}
	})
}

// TestCrashIsBroadcastBeforeReturn guards against responses that are sent before the peers know of
// the crash: the next attempt of a harmful request would run at a node that does not suspect it.
func TestCrashIsBroadcastBeforeReturn(t *testing.T) {
	g := NewWithT(t)
	members := roster.New(roster.Record{Node: "n-1", Epoch: 1, Counter: 1})
	var broadcastCrashes []roster.Crash
	held := quarantine.New(quarantine.Options{
		Members: members, Broadcast: func() {}, Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
		BroadcastAndWait: func() { broadcastCrashes = members.Own().Evidence.Crashes },
	})
	held.RecordCrash(roster.Crash{Endpoint: "i-1", Service: "one", Running: []fingerprint.Fingerprint{fingerprintOf(1)}})
	g.Expect(broadcastCrashes).To(HaveLen(1))

	broadcastCrashes = nil
	held.RecordCrash(roster.Crash{Endpoint: "i-1", Service: "one", Running: []fingerprint.Fingerprint{fingerprintOf(1)}})
	g.Expect(broadcastCrashes).To(BeNil(), "already reported")
}

// TestQuarantineOfOneCaller checks that content that is harmful for one caller only is still served
// to the other.
func TestQuarantineOfOneCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(3, 1, 0)
		harmful, harmless := fingerprintOf(1), fingerprintOf(1)
		harmless.Call = fingerprintOf(2).Call
		f.nodes[0].reportCrash("i-0", nil, harmful)
		f.nodes[1].quarantine.RecordSurvival(harmless)
		f.advance()
		g.Expect(f.nodes[2].quarantine.IsSuspect(harmful)).To(BeTrue())
		f.nodes[1].reportCrash("i-1", &harmful)
		g.Expect(f.countQuarantining(harmful)).To(Equal(len(f.nodes)))
		g.Expect(f.countQuarantining(harmless)).To(BeZero())
	})
}

// TestQuarantineOutlivesNodes checks that after both nodes whose back ends crashed have gone,
// another one publishes the entry to new nodes.
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
		g.Expect(fresh.quarantine.IsQuarantined(harmful)).To(BeTrue())
	})
}

// TestLift checks that a request is released at all nodes, including one that learns of the crashes
// again later, and that later crashes quarantine it again.
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

// lift sends an operator's request to the node and returns the status.
func (n *fleetNode) lift(digest string) int {
	recorder := httptest.NewRecorder()
	n.quarantine.ServeLift(recorder, httptest.NewRequest(http.MethodPost, quarantine.PathLift+"?digest="+digest, nil))
	return recorder.Code
}

// TestEvidenceRoundTrip checks that evidence survives encoding as JSON.
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
