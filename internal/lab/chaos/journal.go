package chaos

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/load"
)

// scope says which calls a disturbance may make fail.
type scope struct {
	name     string
	service  string
	entrance string
	absence  bool
}

// span is a disturbance by the clock.
type span struct {
	scope
	start, end time.Time
}

// journal records what happened. It is safe for concurrent use.
type journal struct {
	progress io.Writer
	start    time.Time

	// mutex owns the fields below.
	mutex    sync.Mutex
	events   map[string]int
	spans    []*span
	failures []string
	// late drains and changes that took longer than promised.
	lateDrains    int
	lateChanges   int
	changes       int
	convergence   *load.Histogram
	drainLastWork *load.Histogram
}

func newJournal(progress io.Writer) *journal {
	return &journal{
		progress: progress, start: time.Now(), events: map[string]int{},
		convergence: load.NewHistogram(), drainLastWork: load.NewHistogram(),
	}
}

// happened counts an event and tells of it.
func (j *journal) happened(kind, format string, arguments ...any) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.events[kind]++
	_, _ = fmt.Fprintf(j.progress, "%7.2fs  %-22s %s\n", time.Since(j.start).Seconds(), kind, fmt.Sprintf(format, arguments...))
}

// failed records that an event could not be carried through.
func (j *journal) failed(kind string, err error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.failures = append(j.failures, kind+": "+err.Error())
	_, _ = fmt.Fprintf(j.progress, "%7.2fs  %-22s FAILED: %v\n", time.Since(j.start).Seconds(), kind, err)
}

// excuse opens a disturbance and returns how to close it.
func (j *journal) excuse(affected scope) (end func()) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	opened := &span{scope: affected, start: time.Now()}
	j.spans = append(j.spans, opened)
	return func() {
		j.mutex.Lock()
		defer j.mutex.Unlock()
		opened.end = time.Now()
	}
}

// disturbances returns the disturbances relative to the start of a run.
func (j *journal) disturbances(start time.Time) []load.Disturbance {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var found []load.Disturbance
	for _, each := range j.spans {
		end := each.end
		if end.IsZero() {
			end = time.Now()
		}
		found = append(found, load.Disturbance{
			Name: each.name, Service: each.service, Entrance: each.entrance, Absence: each.absence,
			Start: each.start.Sub(start), End: end.Sub(start),
		})
	}
	return found
}

func (j *journal) changed(took time.Duration) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.changes++
	j.convergence.Record(took)
	if took > convergenceBound {
		j.lateChanges++
	}
}

func (j *journal) drained(last time.Duration) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.drainLastWork.Record(last)
	if last > drainBound {
		j.lateDrains++
	}
}
