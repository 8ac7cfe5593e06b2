// Package simulation runs the cores of the daemons and proxies on one thread
// under a virtual clock: a seeded event queue, a network and a store that fail
// as the scenario says, hollow proxies that apply snapshots, and a checker that
// evaluates the system's promises at each event. One seed gives one trace, to
// the byte.
package simulation

import (
	"container/heap"
	"time"
)

// epoch is virtual time zero; incarnations count from it.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// event is something that happens at a time. Events of one time happen in the
// order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

// clock is the virtual clock with its event queue.
type clock struct {
	now      time.Duration
	sequence uint64
	queue    eventQueue
	// free holds events to be used again.
	free []*event
}

// at schedules run; a time that has passed means now.
func (c *clock) at(when time.Duration, run func()) {
	c.sequence++
	scheduled := c.take()
	*scheduled = event{at: max(when, c.now), sequence: c.sequence, run: run}
	heap.Push(&c.queue, scheduled)
}

// after schedules run a delay from now.
func (c *clock) after(delay time.Duration, run func()) { c.at(c.now+delay, run) }

func (c *clock) take() *event {
	if len(c.free) == 0 {
		return &event{}
	}
	last := c.free[len(c.free)-1]
	c.free = c.free[:len(c.free)-1]
	return last
}

// step runs the next event not after the end, and reports whether there was
// one.
func (c *clock) step(end time.Duration) bool {
	if len(c.queue) == 0 || c.queue[0].at > end {
		c.now = end
		return false
	}
	next := heap.Pop(&c.queue).(*event)
	c.now = next.at
	run := next.run
	next.run = nil
	c.free = append(c.free, next)
	run()
	return true
}

// time returns the virtual time as the cores see it.
func (c *clock) time() time.Time { return epoch.Add(c.now) }
