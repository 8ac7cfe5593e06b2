package sidecar

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/exchange"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// TestWatchTimeoutsAreEvenlySpaced checks that the watch calls of the readers end at even intervals,
// so that at any time some node has a proof from the store no older than one interval.
func TestWatchTimeoutsAreEvenlySpaced(t *testing.T) {
	for _, size := range []int{1, 3, 10, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := NewWithT(t)
			node := newNode(t)
			records := []*roster.Record{node.members.Own()}
			for i := 1; i < size; i++ {
				records = append(records, &roster.Record{Node: fmt.Sprintf("n-%d", i), Epoch: 1, Counter: 1, Zone: fmt.Sprint("z", i%3)})
			}
			node.members.Merge(records)
			view := node.members.View()
			var firstTimeouts []time.Duration
			var period time.Duration
			for _, reader := range readers.All(view, func(*roster.Record) bool { return true }) {
				own := &Sidecar{options: node.options, exchanger: node.exchanger, members: roster.New(*reader)}
				own.members.Merge(view.Records())
				firstTimeouts = append(firstTimeouts, own.WatchTimeout(true))
				period = own.WatchTimeout(false)
			}
			slices.Sort(firstTimeouts)
			spacing := exchange.ProofRefreshAge(node.options.Settings.applyBound())
			for i, wait := range firstTimeouts {
				g.Expect(wait).To(Equal(minWatchTimeout + time.Duration(i)*spacing))
			}
			g.Expect(period).To(Equal(time.Duration(max(len(firstTimeouts), minWatchers)) * spacing))
		})
	}
}
