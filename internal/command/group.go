package command

import (
	"slices"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// group is the requests that are committed by one entry. It is used by one
// goroutine.
type group struct {
	requests []*request
	// admission is the entry being built, and outcomes what each request is
	// to be answered once the entry is in the log.
	admission *resource.Admission
	outcomes  []Outcome
	// inDoubt, when set, is the admission whose append got no answer. While
	// its version is free the same entry is appended again, never another:
	// whichever append takes effect, the outcomes hold.
	inDoubt *resource.Admission
}

// decide admits the requests, in order, on top of a state.
func (g *group) decide(state *resource.State, operations *operationIndex) {
	doubted := g.inDoubt
	g.inDoubt = nil
	g.admission = resource.NewAdmission(state)
	g.outcomes = make([]Outcome, len(g.requests))
	first := map[string]int{}
	for position, waiting := range g.requests {
		id := waiting.id()
		if outcome, known := operations.find(id, waiting.content.digest); known {
			outcome.Repeated = outcome.Repeated && !holds(doubted, id)
			g.outcomes[position] = outcome
			continue
		}
		if earlier, twin := first[id]; twin {
			g.outcomes[position] = g.repeat(earlier, waiting)
			continue
		}
		g.outcomes[position] = g.admit(waiting.batch)
		if g.outcomes[position].Result == Accepted {
			first[id] = position
		}
	}
}

func (g *group) admit(batch resource.Batch) Outcome {
	if err := g.admission.Admit(batch); err != nil {
		return fromError(batch.Operation.ID, err)
	}
	return Outcome{Result: Accepted, Version: g.admission.Version(), OperationID: batch.Operation.ID}
}

// repeat answers a batch whose operation id stands earlier in the group.
func (g *group) repeat(earlier int, waiting *request) Outcome {
	if g.requests[earlier].content.digest != waiting.content.digest {
		return fromError(waiting.id(), errIDReused)
	}
	outcome := g.outcomes[earlier]
	outcome.Repeated = true
	return outcome
}

// refuses reports whether any request is refused.
func (g *group) refuses() bool {
	return slices.ContainsFunc(g.outcomes, func(outcome Outcome) bool { return outcome.Result != Accepted })
}

// holds reports whether an admission took in the operation.
func holds(admission *resource.Admission, operationID string) bool {
	if admission == nil {
		return false
	}
	for _, batch := range admission.Entry().Batches {
		if batch.Operation.ID == operationID {
			return true
		}
	}
	return false
}

// answer gives every request its outcome.
func (g *group) answer() {
	for position, waiting := range g.requests {
		waiting.answer <- answer{outcome: g.outcomes[position]}
	}
}

// abandon answers a group whose commit failed: with the first outcome what was
// committed before, unknown what stands in an entry in doubt, and not run
// everything else.
func (g *group) abandon(operations *operationIndex, reason string, err error) {
	for _, waiting := range g.requests {
		if outcome, known := operations.find(waiting.id(), waiting.content.digest); known {
			waiting.answer <- answer{outcome: outcome}
			continue
		}
		waiting.answer <- answer{outcome: g.abandonOne(waiting.id(), reason), err: err}
	}
}

func (g *group) abandonOne(operationID, reason string) Outcome {
	if holds(g.inDoubt, operationID) {
		return unknown(operationID, reasonNoAnswer)
	}
	return notRun(operationID, reason)
}
