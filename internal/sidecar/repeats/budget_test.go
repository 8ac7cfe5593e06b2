package repeats

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestBudgetOverAllNodes: whatever the load, the repeats of all nodes together stay within the
// limits in every window.
func TestBudgetOverAllNodes(t *testing.T) {
	limits := Limits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
	cases := []struct {
		name     string
		nodes    int
		requests int // per node and tenth of a second
	}{
		{"calm", 10, 0}, {"one node", 1, 5}, {"busy", 10, 4}, {"many nodes", 100, 1}, {"very many nodes", 1000, 0},
	}
	for _, load := range cases {
		t.Run(load.name, func(t *testing.T) {
			g := NewWithT(t)
			budgets := make([]budget, load.nodes)
			now := time.Unix(1000, 0)
			const steps = 600
			taken := make([]int, steps)
			for step := range steps {
				now = now.Add(100 * time.Millisecond)
				for node := range budgets {
					for range load.requests {
						budgets[node].recordRequest(limits, load.nodes, now)
					}
					for budgets[node].take(limits, load.nodes, now) {
						taken[step]++
					}
				}
			}
			const window = 100
			inWindow, maxInWindow := 0, 0
			for step := range steps {
				inWindow += taken[step]
				if step >= window {
					inWindow -= taken[step-window]
				}
				maxInWindow = max(maxInWindow, inWindow)
			}
			allowed := limits.Ratio*float64(load.nodes*load.requests*window) + limits.Slack
			g.Expect(float64(maxInWindow)).To(BeNumerically("<=", allowed))
			if load.requests > 0 {
				g.Expect(maxInWindow).To(BeNumerically(">", 0))
			}
		})
	}
}
