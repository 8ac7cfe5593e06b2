package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/repeats"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
)

func TestCompare(t *testing.T) {
	g := NewWithT(t)
	held := Settings{Node: "n", Zone: "z", Grace: time.Second, StoreAddress: "a:1"}
	next := held
	changed, waiting := compare(&held, &next)
	g.Expect(changed).To(BeEmpty())
	g.Expect(waiting).To(BeEmpty())
	next.Grace, next.StoreAddress, next.Zone = 2*time.Second, "b:1", "y"
	next.Retries = repeats.Limits{Ratio: 0.5}
	changed, waiting = compare(&held, &next)
	g.Expect(changed).To(ConsistOf("Grace", "StoreAddress", "Retries"))
	g.Expect(waiting).To(ConsistOf("Zone"))
	g.Expect(held.Grace).To(Equal(2 * time.Second))
	g.Expect(held.Retries.Ratio).To(Equal(0.5))
	g.Expect(held.Zone).To(Equal("z"), "what is known to peers stays")
}

// TestReloadableNamesAreFields: a field that is renamed must not fall out.
func TestReloadableNamesAreFields(t *testing.T) {
	g := NewWithT(t)
	held, next := Settings{}, Settings{StoreAddress: "x", DrainBound: 1, Grace: 1, Retries: repeats.Limits{Slack: 1}, ValueBytes: 1, Rollout: rollout.Limits{Share: 1}}
	changed, waiting := compare(&held, &next)
	g.Expect(changed).To(HaveLen(len(reloadable)))
	g.Expect(waiting).To(BeEmpty())
}
