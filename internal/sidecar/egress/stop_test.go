package egress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRefuseFromEarliest: a later time does not replace an earlier one, so that calls already
// refused stay refused.
func TestRefuseFromEarliest(t *testing.T) {
	g := NewWithT(t)
	handler := newHandler(t, &fakeObserver{}, probeOK)
	start := time.Unix(1_700_000_000, 0)
	g.Expect(handler.refuses(start)).To(BeFalse())
	handler.RefuseFrom(start.Add(time.Second))
	handler.RefuseFrom(start.Add(2 * time.Second))
	g.Expect(handler.refuses(start.Add(time.Second))).To(BeTrue())
	handler.RefuseFrom(start)
	g.Expect(handler.refuses(start)).To(BeTrue())
	g.Expect(handler.refuses(start.Add(-time.Nanosecond))).To(BeFalse())
}

// workingBackend works on a request with a deadline.
type workingBackend struct{ deadline time.Time }

func (b workingBackend) Nested(string, time.Time, bool, time.Time) bool { return false }
func (b workingBackend) Repeated(time.Time) float64                     { return 0 }
func (b workingBackend) Possible(deadline time.Time) bool               { return !deadline.After(b.deadline) }

// TestAcceptsNested guards against calls of a running request that a stopping node refuses, and against accepted
// ones that would be cancelled.
func TestAcceptsNested(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	until, parent := start.Add(5*time.Second), start.Add(3*time.Second)
	cases := []struct {
		name     string
		until    *time.Time
		parent   time.Time
		deadline time.Time
		accepted bool
	}{
		{"within the parent's deadline", &until, parent, parent, true},
		{"later than the parent", &until, parent, parent.Add(time.Second), false},
		{"until calls are cancelled", &until, until.Add(time.Second), until, true},
		{"later than calls are cancelled", &until, until.Add(time.Second), until.Add(time.Millisecond), false},
		{"the node is not stopping", nil, parent, parent, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			handler := newHandler(t, &fakeObserver{}, probeOK)
			handler.options.Nested = workingBackend{deadline: tc.parent}
			if tc.until != nil {
				handler.AcceptNestedUntil(*tc.until)
			}
			NewWithT(t).Expect(handler.acceptsNested(tc.deadline)).To(Equal(tc.accepted))
		})
	}
}
