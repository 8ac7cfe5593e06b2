package choice_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/choice"
)

// TestLongestFollowsRecentRequests guards against a bound below what requests of the back end have recently taken.
func TestLongestFollowsRecentRequests(t *testing.T) {
	const expected = 500 * time.Millisecond
	start := time.Unix(1_700_000_000, 0)
	cases := []struct {
		name   string
		worked time.Duration
		after  time.Duration
		bound  time.Duration
	}{
		{"nothing known", 0, 0, 4 * time.Second},
		{"shorter than assumed", time.Second, time.Second, 4 * time.Second},
		{"longer than assumed", 6 * time.Second, time.Second, 7500 * time.Millisecond},
		{"in the next period", 6 * time.Second, 70 * time.Second, 7500 * time.Millisecond},
		{"long ago", 6 * time.Second, 3 * time.Minute, 4 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var longest choice.Longest
			longest.Observe(tc.worked, expected, start)
			longest.Observe(time.Hour, 0, start)
			NewWithT(t).Expect(longest.Bound(expected, start.Add(tc.after))).To(Equal(tc.bound))
		})
	}
}
