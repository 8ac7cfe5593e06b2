package command

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// retryAfter is offered when a batch could not be decided for the moment.
const retryAfter = time.Second

// request is one batch that waits for its outcome.
type request struct {
	batch   resource.Batch
	content content
	answer  chan answer
}

// id returns the operation id.
func (r *request) id() string { return r.batch.Operation.ID }

type answer struct {
	outcome Outcome
	err     error
}

// Service commits batches. It is safe for concurrent use.
type Service struct {
	config    Config
	states    StateSource
	committer *committer

	mutex sync.Mutex
	// pending and committing are guarded by mutex. committing says that a
	// goroutine is running commitPending.
	pending    []*request
	committing bool
}

// New returns a service that appends to the log on top of the newer of what
// states gives and what it committed itself.
func New(log Log, states StateSource, config Config) *Service {
	config = config.withDefaults()
	return &Service{config: config, states: states, committer: newCommitter(log, states, config)}
}

// Apply decides a batch. The outcome is valid whether or not an error comes
// with it; the error is the fault behind a rejection or an unknown outcome
// that does not lie in the batch. A dry run is decided on the newest state
// this node knows and writes nothing.
func (s *Service) Apply(ctx context.Context, batch resource.Batch, dryRun bool) (Outcome, error) {
	if batch.Operation.Machine == "" {
		batch.Operation.Machine = s.config.Machine
	}
	if err := validateOperation(batch.Operation); err != nil {
		return fromError(batch.Operation.ID, err), nil
	}
	if err := resource.ValidateBatch(batch); err != nil {
		return fromError(batch.Operation.ID, err), nil
	}
	if dryRun {
		return s.dryRun(batch), nil
	}
	return s.enqueue(ctx, batch)
}

// State returns the newest state known: what the source gives or what this
// service committed, whichever is newer.
func (s *Service) State() *resource.State {
	return newer(s.states.State(), s.committer.state.Load())
}

// Pending returns how many batches wait for a commit that has not begun.
func (s *Service) Pending() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.pending)
}

func (s *Service) dryRun(batch resource.Batch) Outcome {
	state := s.State()
	if state == nil {
		return notRun(batch.Operation.ID, reasonNoState)
	}
	next, err := resource.Admit(state, batch)
	if err != nil {
		outcome := fromError(batch.Operation.ID, err)
		outcome.DryRun = true
		return outcome
	}
	return Outcome{Result: Accepted, Version: next.Version(), OperationID: batch.Operation.ID, DryRun: true}
}

func (s *Service) enqueue(ctx context.Context, batch resource.Batch) (Outcome, error) {
	waiting := &request{batch: batch, content: newContent(batch), answer: make(chan answer, 1)}
	if !s.push(waiting) {
		return notRun(batch.Operation.ID, "too many batches wait at this node"), nil
	}
	select {
	case answered := <-waiting.answer:
		return answered.outcome, answered.err
	case <-ctx.Done():
		return s.abandon(ctx, waiting)
	}
}

// push queues a request and makes sure that a commit runs. It returns false
// when the queue is full.
func (s *Service) push(waiting *request) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.pending) >= s.config.MaximumPending {
		return false
	}
	s.pending = append(s.pending, waiting)
	if !s.committing {
		s.committing = true
		go s.commitPending()
	}
	return true
}

// abandon answers a caller that gave up: not run when its request is still
// queued, unknown when its commit has begun.
func (s *Service) abandon(ctx context.Context, waiting *request) (Outcome, error) {
	id := waiting.id()
	cause := trace.Wrap(ctx.Err(), "command: the caller gave up")
	if s.withdraw(waiting) {
		return notRun(id, "the request was given up before its commit began"), cause
	}
	select {
	case answered := <-waiting.answer:
		return answered.outcome, answered.err
	default:
		return unknown(id, "the request was given up while its commit ran"), cause
	}
}

// withdraw takes a request out of the queue and reports whether it was there.
func (s *Service) withdraw(waiting *request) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for position, queued := range s.pending {
		if queued == waiting {
			s.pending = append(s.pending[:position:position], s.pending[position+1:]...)
			return true
		}
	}
	return false
}

// commitPending commits groups until the queue is empty.
func (s *Service) commitPending() {
	for {
		group := s.nextGroup()
		if len(group) == 0 {
			return
		}
		s.commitGroup(group)
	}
}

// commitGroup commits one group. Should the commit panic, nobody knows whether
// its entry was appended: its callers are told so, and the service goes on.
func (s *Service) commitGroup(group []*request) {
	defer func() {
		if fault := recover(); fault != nil {
			answerFault(group, trace.Errorf("command: step=commit: panic: %v", fault))
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), s.config.CommitTimeout)
	defer cancel()
	s.committer.commit(ctx, group)
}

// answerFault answers whoever has no answer yet.
func answerFault(group []*request, cause error) {
	for _, waiting := range group {
		select {
		case waiting.answer <- answer{outcome: unknown(waiting.id(), reasonFault), err: cause}:
		default:
		}
	}
}

// nextGroup takes as many requests from the queue as one entry may hold. An
// empty group ends the committing goroutine.
func (s *Service) nextGroup() []*request {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	size, count := 0, 0
	for _, waiting := range s.pending {
		size += waiting.content.size
		if count > 0 && size > s.config.MaximumGroupBytes {
			break
		}
		count++
	}
	group := s.pending[:count:count]
	s.pending = s.pending[count:]
	s.committing = count > 0
	return group
}

func notRun(operationID, reason string) Outcome {
	return Outcome{Result: Rejected, OperationID: operationID, Reason: reason + "; this request was not run", RetryAfter: retryAfter}
}

func unknown(operationID, reason string) Outcome {
	return Outcome{Result: Unknown, OperationID: operationID, RetryAfter: retryAfter,
		Reason: reason + "; ask again with operation id " + operationID}
}

func newer(left, right *resource.State) *resource.State {
	if left == nil || (right != nil && right.Version() > left.Version()) {
		return right
	}
	return left
}
