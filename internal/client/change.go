package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/command"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Waits between attempts at a change; each is drawn from zero up to the present
// bound, which doubles, and is no shorter than the server's Retry-After.
const (
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// Change is a batch to be decided.
type Change struct {
	// OperationID has one outcome for ever.
	OperationID string
	// Repeated says that an earlier request with the id may have been run, so
	// that only a decided outcome tells what became of the operation.
	Repeated bool
	Changes  []resource.Change
	// DryRun decides without writing.
	DryRun bool
	// Patience is how long to ask again, with the same operation id, while the
	// outcome is not known or the server can't decide for the moment. Zero
	// asks once.
	Patience time.Duration
}

// Apply asks for a change until it is decided or patience ends. The outcome is
// always valid: what may have been run in any attempt is never reported as
// rejected for want of an answer. The error is the fault behind an outcome that
// was not decided.
func (c *Client) Apply(ctx context.Context, change Change) (v1.Outcome, error) {
	body, err := json.Marshal(v1.Batch{Changes: change.Changes})
	if err != nil {
		return v1.Outcome{Result: command.Rejected, OperationID: change.OperationID, Reason: err.Error()}, nil
	}
	patient, cancel := context.WithTimeout(ctx, change.Patience)
	defer cancel()
	inDoubt := change.Repeated && !change.DryRun
	backoff := firstBackoff
	for {
		attempt, cause := c.applyOnce(ctx, change, body)
		switch {
		case decided(attempt) && cause != nil && inDoubt:
			// The refusal is about the last attempt only.
			return undecided(attempt, inDoubt), cause
		case decided(attempt):
			return attempt, nil
		}
		inDoubt = inDoubt || attempt.Result == command.Unknown
		if !pause(patient, max(rand.N(backoff), attempt.RetryAfter)) {
			return undecided(attempt, inDoubt), cause
		}
		backoff = min(2*backoff, lastBackoff)
	}
}

// decided reports whether asking again can't change an outcome.
func decided(outcome v1.Outcome) bool {
	return outcome.Result != command.Unknown && outcome.RetryAfter == 0
}

// undecided is the last outcome, as unknown when any attempt was or an earlier
// request may have been run.
func undecided(last v1.Outcome, inDoubt bool) v1.Outcome {
	if inDoubt && last.Result != command.Unknown {
		last.Result = command.Unknown
		last.Reason = "an earlier attempt may have been run, the last one: " + last.Reason
	}
	return last
}

// applyOnce makes one attempt. An outcome with RetryAfter is worth another.
func (c *Client) applyOnce(ctx context.Context, change Change, body []byte) (v1.Outcome, error) {
	bounded, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	query := url.Values{}
	if change.DryRun {
		query.Set("dryRun", "true")
	}
	response, err := c.send(bounded, http.MethodPost, c.url(query, v1.PathBatch), body, change.OperationID)
	if err != nil {
		return failed(change, err), c.wrap("apply", err)
	}
	defer response.Body.Close()
	outcome, err := readOutcome(response, change)
	return outcome, c.wrap("apply", err)
}

// failed is the outcome of an attempt that got no whole answer.
func failed(change Change, err error) v1.Outcome {
	outcome := v1.Outcome{
		Result:      command.Rejected,
		OperationID: change.OperationID,
		DryRun:      change.DryRun,
		Reason:      "the server was not reached; it was not run",
		RetryAfter:  firstBackoff,
	}
	if !errors.Is(err, ErrUnreachable) && !change.DryRun {
		outcome.Result = command.Unknown
		outcome.Reason = "the answer was lost; ask again with operation id " + change.OperationID
	}
	return outcome
}

// readOutcome reads the answer to a change. Only an answer of the API itself
// says that a change was not run.
func readOutcome(response *http.Response, change Change) (v1.Outcome, error) {
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict, http.StatusUnprocessableEntity, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		refused := problem(response)
		return v1.Outcome{Result: command.Rejected, OperationID: change.OperationID, Reason: refused.Error()}, refused
	default:
		refused := problem(response)
		return failed(change, refused), refused
	}
	var outcome v1.Outcome
	if err := decode(response, &outcome); err != nil {
		return failed(change, err), err
	}
	if outcome.OperationID != change.OperationID {
		err := fmt.Errorf("%w: the answer is about operation %q", ErrAnswerLost, outcome.OperationID)
		return failed(change, err), err
	}
	outcome.RetryAfter = retryAfter(response)
	return outcome, nil
}

// retryAfter reads the header of that name in seconds; an answer that says
// "later" without a time gets the shortest wait.
func retryAfter(response *http.Response) time.Duration {
	if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusGatewayTimeout {
		return 0
	}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return firstBackoff
	}
	return time.Duration(seconds) * time.Second
}

// pause waits and reports whether the context is still running. A wait that
// would outlast the context is not begun.
func pause(ctx context.Context, duration time.Duration) bool {
	if deadline, bounded := ctx.Deadline(); bounded && time.Until(deadline) < duration {
		return false
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
