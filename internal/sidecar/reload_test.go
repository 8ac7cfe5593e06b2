package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/repeats"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
)

func TestApplyReloadable(t *testing.T) {
	g := NewWithT(t)
	current := Settings{Node: "n", Zone: "z", Grace: time.Second, StoreAddress: "a:1"}
	next := current
	changed, needRestart := applyReloadable(&current, &next)
	g.Expect(changed).To(BeEmpty())
	g.Expect(needRestart).To(BeEmpty())
	next.Grace, next.StoreAddress, next.Zone = 2*time.Second, "b:1", "y"
	next.Retries = repeats.Limits{Ratio: 0.5}
	changed, needRestart = applyReloadable(&current, &next)
	g.Expect(changed).To(ConsistOf("Grace", "StoreAddress", "Retries"))
	g.Expect(needRestart).To(ConsistOf("Zone"))
	g.Expect(current.Grace).To(Equal(2 * time.Second))
	g.Expect(current.Retries.Ratio).To(Equal(0.5))
	g.Expect(current.Zone).To(Equal("z"), "a field known to peers must not change")
}

// TestReloadableFieldsExist checks that every name in reloadable is a field of Settings, so that
// renaming a field does not silently make it need a restart.
func TestReloadableFieldsExist(t *testing.T) {
	g := NewWithT(t)
	current, next := Settings{}, Settings{Service: "x", StoreAddress: "x", DrainBound: 1, Grace: 1, Retries: repeats.Limits{Slack: 1}, ValueBytes: 1, Rollout: rollout.Limits{Share: 1}}
	changed, needRestart := applyReloadable(&current, &next)
	g.Expect(changed).To(HaveLen(len(reloadable)))
	g.Expect(needRestart).To(BeEmpty())
}

// TestReloadedServiceDropsBackend guards against a node that goes on telling others of a back end
// whose service is no longer that of the settings.
func TestReloadedServiceDropsBackend(t *testing.T) {
	g := NewWithT(t)
	node := newNode(t)
	next := *node.settings.Load()
	node.Reload(next)
	g.Expect(node.members.Own().Endpoint).NotTo(BeNil(), "nothing has changed")
	next.Service = "beta"
	node.Reload(next)
	g.Expect(node.caller()).To(Equal("beta"))
	g.Expect(node.members.Own().Endpoint).To(BeNil())
	g.Expect(node.Heartbeat(t.Context(), heartbeatOf("i-0", "alpha", 9))).NotTo(Succeed())
	g.Expect(node.Heartbeat(t.Context(), heartbeatOf("i-1", "beta", 1))).To(Succeed())
	g.Expect(node.members.Own().Endpoint.ID).To(Equal("i-1"))
}
