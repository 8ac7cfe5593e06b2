package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Print writes the account for a reader; verified says whether the back ends'
// ledger was at hand.
func (a *Account) Print(output io.Writer, verified bool) error {
	for _, name := range slices.Sorted(maps.Keys(a.Outcomes)) {
		if _, err := fmt.Fprintf(output, "  %-15s %d\n", name, a.Outcomes[name]); err != nil {
			return err
		}
	}
	if !verified {
		_, err := fmt.Fprintln(output, "not held against any ledger")
		return err
	}
	return a.printPromises(output)
}

func (a *Account) printPromises(output io.Writer) error {
	_, err := fmt.Fprintf(output, "lost %d, doubled %d, swapped %d, truncated %d, falsely not run %d, cut off %d, phantom %d\n",
		a.Lost, a.Doubled, a.Swapped, a.Truncated, a.FalselyNotRun, a.CutOff, a.Phantom)
	if err != nil {
		return err
	}
	if _, err = fmt.Fprintf(output, "excused by a fault on purpose %d, ended by their deadline %d, repeated as allowed %d, unverified %d\n",
		a.Excused, a.DeadlinePassed, a.Repeated, a.Unverified); err != nil {
		return err
	}
	for _, finding := range a.Findings {
		if _, err = fmt.Fprintln(output, "  "+finding); err != nil {
			return err
		}
	}
	return nil
}

// CountOutcomes counts outcomes without holding them against any ledger; it
// still finds swapped and truncated answers and calls without a reply.
func CountOutcomes(run *Run) *Account {
	account := &Account{Calls: len(run.Results), Outcomes: map[string]int{}}
	for index := range run.Results {
		outcome := run.Results[index].Outcome
		account.Outcomes[outcome.String()]++
		switch outcome {
		case Swapped:
			account.Swapped++
		case Truncated, Corrupted:
			account.Truncated++
		case TimedOut, Unexpected:
			account.Lost++
		}
	}
	return account
}
