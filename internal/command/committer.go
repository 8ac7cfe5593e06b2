package command

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// readPage bounds the entries read from the log in one request.
const readPage = 128

// Reasons of outcomes that do not lie in the batch.
const (
	reasonNoState   = "this node has no configuration yet"
	reasonBehind    = "this node's configuration is older than the log still holds"
	reasonStore     = "the store did not take the change"
	reasonContended = "other operators' changes came first each time"
	reasonNoAnswer  = "the store did not say whether it took the change"
	reasonFault     = "an internal fault ended the commit"
)

// errNoState means that this node has not loaded the configuration yet.
var errNoState = errors.New("command: " + reasonNoState)

// errTooLarge refuses a batch that one log entry cannot hold.
var errTooLarge = &resource.RejectionError{Fields: []resource.FieldError{{
	Path: "changes", Reason: "are too large for one log entry; split the batch",
}}}

// committer appends groups of batches to the log, one group at a time. Only
// the goroutine that runs Service.commitPending calls it; state alone is read
// by others.
type committer struct {
	log    Log
	states StateSource
	config Config
	// state is the newest state read from or appended to the log.
	state      atomic.Pointer[resource.State]
	operations *operationIndex
	// indexed is the version up to which operations covers the log's tail.
	indexed uint64
}

func newCommitter(log Log, states StateSource, config Config) *committer {
	return &committer{log: log, states: states, config: config, operations: newOperationIndex()}
}

// commit decides every request of a group and answers each exactly once.
func (c *committer) commit(ctx context.Context, requests []*request) {
	group := &group{requests: requests}
	pause := c.config.Backoff
	for attempt := 1; ; attempt++ {
		err := c.attempt(ctx, group, attempt > 1)
		switch {
		case err == nil:
			group.answer()
			return
		case errors.Is(err, store.ErrTooLarge):
			c.split(ctx, group)
			return
		case attempt == c.config.Attempts || !worthRepeating(err) || !wait(ctx, pause):
			c.giveUp(group, err)
			return
		}
		pause = min(2*pause, c.config.BackoffLimit)
	}
}

// split commits the requests of a group too large for one entry each by
// itself.
func (c *committer) split(ctx context.Context, group *group) {
	if len(group.requests) == 1 {
		group.outcomes = []Outcome{fromError(group.requests[0].id(), errTooLarge)}
		group.answer()
		return
	}
	for _, single := range group.requests {
		c.commit(ctx, []*request{single})
	}
}

// attempt decides the group on the newest state and appends the entry. A nil
// error means that the outcomes hold.
//
// A stale state does no harm to what is accepted: the entry commits only when
// its version was never taken, so the state it was admitted on was the newest.
// A refusal has no such proof and is given only on a state just read from the
// log.
func (c *committer) attempt(ctx context.Context, group *group, read bool) error {
	if read || !c.isIndexed() {
		if err := c.refresh(ctx); err != nil {
			return trace.Wrap(err, "command: step=read-head")
		}
		read = true
	}
	c.decide(group)
	if group.refuses() && !read {
		return c.attempt(ctx, group, true)
	}
	if group.admission.Empty() {
		return nil
	}
	entry := group.admission.Entry()
	if err := c.log.Append(ctx, entry); err != nil {
		if mayHaveTakenEffect(err) {
			group.inDoubt = group.admission
		}
		return trace.Wrap(err, "command: step=append version=%d", entry.Version)
	}
	c.state.Store(group.admission.Result())
	c.remember(entry)
	return nil
}

// decide admits the group on the newest state, unless its entry is in doubt
// and the entry's version still free.
func (c *committer) decide(group *group) {
	state := c.state.Load()
	if group.inDoubt == nil || group.inDoubt.Version() != state.Version()+1 {
		group.decide(state, c.operations)
	}
}

// isIndexed takes over the newest state known when every operation up to it
// is remembered.
func (c *committer) isIndexed() bool {
	state := newer(c.states.State(), c.state.Load())
	if state == nil {
		return false
	}
	if c.indexed < state.Version() {
		c.indexTail(state.Version())
	}
	if c.indexed < state.Version() {
		return false
	}
	c.state.Store(state)
	return true
}

// indexTail remembers the operations up to a version that this node holds.
func (c *committer) indexTail(head uint64) {
	if c.config.Tail == nil {
		return
	}
	entries, held := c.config.Tail.EntriesAfter(c.firstUnread(head))
	if !held {
		return
	}
	for _, entry := range entries {
		c.remember(entry)
	}
}

// refresh reads what the log holds after the newest state known, and the tail
// before it whose operations are not yet remembered.
func (c *committer) refresh(ctx context.Context) error {
	state := newer(c.states.State(), c.state.Load())
	if state == nil {
		return errNoState
	}
	after := c.firstUnread(state.Version())
	for {
		entries, err := c.log.ReadAfter(ctx, after, readPage)
		if errors.Is(err, store.ErrCompacted) && after < state.Version() {
			after = state.Version()
			continue
		}
		if err != nil {
			return trace.Wrap(err)
		}
		for _, entry := range entries {
			state, _ = state.Advance(entry) // entries up to the state change nothing
			c.remember(entry)
			after = entry.Version
		}
		if len(entries) < readPage {
			c.indexed = max(c.indexed, state.Version())
			c.state.Store(state)
			return nil
		}
	}
}

// firstUnread returns the version after which the log is to be read.
func (c *committer) firstUnread(head uint64) uint64 {
	oldest := head - min(head, rememberedVersions)
	return min(head, max(c.indexed, oldest))
}

func (c *committer) remember(entry resource.Entry) {
	if entry.Version > c.indexed {
		c.operations.add(entry)
		c.indexed = entry.Version
	}
}

// giveUp answers a group that could not be committed.
func (c *committer) giveUp(group *group, err error) {
	reason := reasonStore
	switch {
	case errors.Is(err, errNoState):
		reason = reasonNoState
	case errors.Is(err, store.ErrCompacted):
		reason = reasonBehind
	case errors.Is(err, store.ErrConflict):
		reason = reasonContended
	}
	group.abandon(c.operations, reason, err)
}

// worthRepeating reports whether another attempt may succeed within the
// commit's time.
func worthRepeating(err error) bool {
	return !errors.Is(err, errNoState) && !errors.Is(err, store.ErrCompacted)
}

// mayHaveTakenEffect reports whether an append with this error may be in the
// log. Only errors that prove the contrary say no.
func mayHaveTakenEffect(err error) bool {
	return !errors.Is(err, store.ErrConflict) &&
		!errors.Is(err, store.ErrUnavailable) &&
		!errors.Is(err, store.ErrRateLimited) &&
		!errors.Is(err, store.ErrTooLarge)
}

// wait pauses for a random part of the longest pause and reports whether the
// context is still running.
func wait(ctx context.Context, longest time.Duration) bool {
	timer := time.NewTimer(rand.N(longest) + 1)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
