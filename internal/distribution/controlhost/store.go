package controlhost

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/control"
	"github.com/kestrelstream/kestrelstream/internal/distribution/reader"
	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/store"
	"github.com/kestrelstream/kestrelstream/internal/store/versionlog"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

// Limits of one store operation.
const (
	operationTimeout = 5 * time.Second
	loadTimeout      = 30 * time.Second
	// pollEntries is the maximum number of entries read by one poll.
	pollEntries = 256
)

// Log is the part of the version log that a store reader uses.
type Log interface {
	Load(ctx context.Context) (*resource.State, []resource.Entry, uint64, error)
	ReadAfter(ctx context.Context, after uint64, limit int) ([]resource.Entry, error)
	Watch(ctx context.Context, after versionlog.Position) *versionlog.Stream
}

// ReaderSlots gives this daemon access to the store reader slots.
type ReaderSlots interface {
	// Acquire tries once to acquire a slot and returns the resulting holders.
	Acquire(ctx context.Context) (held bool, readers []distribution.Reader, err error)
	// Renew renews the slot; store.ErrLeaseNotFound means that it is lost.
	Renew(ctx context.Context) error
	// Release releases the slot.
	Release(ctx context.Context) error
}

// storeOperations performs the requests of the reader core, each on its own
// goroutine, and submits the results to the loop.
type storeOperations struct {
	host  *Host
	log   Log
	slots ReaderSlots
	// stopWatch ends the running watch; nil if there is none. It is owned
	// by the loop's goroutine.
	stopWatch context.CancelFunc
	// releases counts the slot releases in progress; closeAll waits for them.
	releases sync.WaitGroup
}

func (o *storeOperations) perform(ctx context.Context, request reader.Request, version uint64) {
	switch request.Operation {
	case reader.Acquire:
		go o.acquire(ctx)
	case reader.Renew:
		go o.renew(ctx)
	case reader.Release:
		o.releases.Go(func() { o.release(context.WithoutCancel(ctx)) })
	case reader.Load:
		go o.load(ctx, version)
	case reader.Poll:
		go o.poll(ctx, version)
	case reader.Watch:
		o.watch(ctx, versionlog.Position{Version: version, Revision: request.Revision})
	}
}

// logFailure logs an operation's error, unless the host is stopping.
func (o *storeOperations) logFailure(ctx context.Context, operation reader.Operation, err error) {
	if err != nil && ctx.Err() == nil {
		o.host.logger.Warn("store operation failed", zap.String(telemetry.StepField, string(operation)), telemetry.Error(err))
	}
}

func (o *storeOperations) acquire(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	held, readers, err := o.slots.Acquire(bounded)
	o.logFailure(ctx, reader.Acquire, err)
	_ = o.host.submit(ctx, func(now time.Time) control.Outputs {
		return o.host.core.Acquired(now, held, readers, err)
	})
}

func (o *storeOperations) renew(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	err := o.slots.Renew(bounded)
	o.logFailure(ctx, reader.Renew, err)
	_ = o.host.submit(ctx, func(now time.Time) control.Outputs { return o.host.core.Renewed(now, err) })
}

func (o *storeOperations) release(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	o.logFailure(ctx, reader.Release, o.slots.Release(bounded))
}

// load reads the log. It passes on a checkpoint only if the entries do not cover
// the gap, since entries keep the children's deltas small.
func (o *storeOperations) load(ctx context.Context, version uint64) {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	state, entries, revision, err := o.log.Load(bounded)
	o.logFailure(ctx, reader.Load, err)
	var checkpoint *distribution.Checkpoint
	if err == nil && !entriesCover(entries, version, state.Version()) {
		checkpoint = &distribution.Checkpoint{Version: state.Version(), Resources: state.All()}
	}
	_ = o.host.submit(ctx, func(now time.Time) control.Outputs {
		outputs := o.host.core.Loaded(now, checkpoint, entries, revision, err)
		o.host.publish(entries)
		return outputs
	})
}

// entriesCover reports whether the entries lead from one version to another.
func entriesCover(entries []resource.Entry, from, to uint64) bool {
	return from >= to || (len(entries) > 0 && entries[0].Version <= from+1)
}

func (o *storeOperations) poll(ctx context.Context, version uint64) {
	bounded, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	entries, err := o.log.ReadAfter(bounded, version, pollEntries)
	o.logFailure(ctx, reader.Poll, err)
	_ = o.host.submit(ctx, func(now time.Time) control.Outputs {
		// The watch restarts at its previous position; entries that it
		// repeats are skipped.
		const revisionUnknown = 0
		outputs := o.host.core.Polled(now, entries, revisionUnknown, err)
		o.host.publish(entries)
		return outputs
	})
}

// watch replaces the running watch of the log, if any, with a new one.
func (o *storeOperations) watch(ctx context.Context, after versionlog.Position) {
	o.cancelWatch()
	watchContext, cancel := context.WithCancel(ctx)
	o.stopWatch = cancel
	running := o.log.Watch(watchContext, after)
	go o.forwardUpdates(ctx, watchContext, running)
}

func (o *storeOperations) cancelWatch() {
	if o.stopWatch != nil {
		o.stopWatch()
		o.stopWatch = nil
	}
}

// forwardUpdates submits every update of a watch to the loop until the watch ends.
// Updates of a cancelled watch are dropped.
func (o *storeOperations) forwardUpdates(ctx, watchContext context.Context, running *versionlog.Stream) {
	defer running.Close()
	_ = o.host.submit(ctx, func(now time.Time) control.Outputs { return o.host.core.Watching(now, nil) })
	for update := range running.Updates() {
		if update.Entry == nil {
			o.watchEnded(watchContext, store.ErrCompacted)
			return
		}
		o.submitIfWatching(watchContext, func(now time.Time) control.Outputs { return o.applyWatchEntry(now, update) })
	}
	o.watchEnded(watchContext, running.Err())
}

func (o *storeOperations) submitIfWatching(watchContext context.Context, step input) {
	_ = o.host.submit(watchContext, func(now time.Time) control.Outputs {
		if watchContext.Err() != nil {
			return control.Outputs{}
		}
		return step(now)
	})
}

func (o *storeOperations) applyWatchEntry(now time.Time, update versionlog.Update) control.Outputs {
	outputs := o.host.core.WatchEntry(now, *update.Entry, update.Position.Revision)
	o.host.publish([]resource.Entry{*update.Entry})
	return outputs
}

func (o *storeOperations) watchEnded(watchContext context.Context, err error) {
	o.logFailure(watchContext, reader.Watch, err)
	o.submitIfWatching(watchContext, func(now time.Time) control.Outputs { return o.host.core.WatchEnded(now, err) })
}
