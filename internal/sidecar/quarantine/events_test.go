package quarantine_test

import (
	"container/heap"
	"time"
)

// event is a function to run at a given time.
type event struct {
	at time.Time
	// number orders events of the same time by when they were scheduled.
	number int
	run    func()
}

// eventQueue runs events in order on the clock of the goroutine that runs it. It implements
// heap.Interface.
type eventQueue struct {
	events    []event
	scheduled int
}

// after schedules a function to run after the delay.
func (q *eventQueue) after(delay time.Duration, run func()) {
	q.scheduled++
	heap.Push(q, event{at: time.Now().Add(delay), number: q.scheduled, run: run})
}

// run runs all events, including those that they schedule.
func (q *eventQueue) run() {
	for q.Len() > 0 {
		q.runNext()
	}
}

// runFor runs the events of the given time span.
func (q *eventQueue) runFor(span time.Duration) {
	until := time.Now().Add(span)
	for q.Len() > 0 && !q.events[0].at.After(until) {
		q.runNext()
	}
	time.Sleep(time.Until(until))
}

func (q *eventQueue) runNext() {
	next := heap.Pop(q).(event)
	time.Sleep(time.Until(next.at))
	next.run()
}

func (q *eventQueue) Len() int { return len(q.events) }

func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	if a.at.Equal(b.at) {
		return a.number < b.number
	}
	return a.at.Before(b.at)
}

func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

func (q *eventQueue) Push(added any) { q.events = append(q.events, added.(event)) }

func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}
