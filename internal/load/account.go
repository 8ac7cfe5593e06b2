package load

import (
	"fmt"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/standin/backend"
)

// maximumFindings bounds the findings an account spells out.
const maximumFindings = 100

// Disturbance is a time during which calls may fail without a promise being
// broken, such as a component killed without warning. Planned stops, drains
// and changes of configuration excuse nothing and are no disturbances.
type Disturbance struct {
	Name string
	// Service and Entrance name the calls affected; empty means all.
	Service  string
	Entrance string
	// Start and End count from the start of the run.
	Start time.Duration
	End   time.Duration
	// Absence excuses only calls that nobody had taken up, as while a caller's
	// proxy is down after a planned stop: nobody to connect to, or a fresh
	// connection that the kernel had made and the process never accepted.
	Absence bool
}

// excuses reports whether a call of that target overlaps the disturbance.
func (d *Disturbance) excuses(target *Target, result *Result, record backend.Record) bool {
	if d.Service != "" && d.Service != target.Service {
		return false
	}
	if d.Entrance != "" && d.Entrance != target.Entrance {
		return false
	}
	notTakenUp := result.Outcome == Refused || result.Outcome == Failed && result.Fresh
	if d.Absence && (!notTakenUp || record.Arrivals > 0) {
		return false
	}
	return result.Started <= d.End && result.Finished >= d.Start
}

// Ledger says what back ends did with a numbered request.
type Ledger interface {
	Get(number uint64) (backend.Record, bool)
	Evicted() uint64
}

// Account holds the callers' outcomes against the back ends' ledger. The
// counts from Lost to Phantom are broken promises.
type Account struct {
	Calls    int            `json:"calls"`
	Outcomes map[string]int `json:"outcomes"`

	// Lost calls got neither their answer nor a typed outcome although
	// nothing on their way was broken by force.
	Lost int `json:"lost"`
	// Doubled calls may not be repeated and ran more than once.
	Doubled int `json:"doubled"`
	// Swapped calls received another request's answer.
	Swapped int `json:"swapped"`
	// Truncated calls received a short or mixed answer that ended cleanly.
	Truncated int `json:"truncated"`
	// FalselyNotRun calls ran although their caller was told otherwise.
	FalselyNotRun int `json:"falsely_not_run"`
	// CutOff calls were broken off although nothing on their way was broken
	// by force: only planned stops or changes can have done it.
	CutOff int `json:"cut_off"`
	// Phantom calls were answered in full though no back end ran them.
	Phantom int `json:"phantom"`

	// Excused calls failed by a fault made on purpose.
	Excused int `json:"excused"`
	// DeadlinePassed calls were ended by their service's deadline, and their
	// caller was told or saw its connection end.
	DeadlinePassed int `json:"deadline_passed"`
	// Repeated calls ran more than once and were allowed to.
	Repeated int `json:"repeated"`
	// Unverified calls could not be checked: their record was evicted.
	Unverified int `json:"unverified"`
	// Findings describe the first broken promises.
	Findings []string `json:"findings,omitempty"`
}

// Broken returns how many promises were broken.
func (a *Account) Broken() int {
	return a.Lost + a.Doubled + a.Swapped + a.Truncated + a.FalselyNotRun + a.CutOff + a.Phantom
}

// Add sums another account into this one.
func (a *Account) Add(other *Account) {
	a.Calls += other.Calls
	if a.Outcomes == nil {
		a.Outcomes = map[string]int{}
	}
	for name, count := range other.Outcomes {
		a.Outcomes[name] += count
	}
	a.Lost += other.Lost
	a.Doubled += other.Doubled
	a.Swapped += other.Swapped
	a.Truncated += other.Truncated
	a.FalselyNotRun += other.FalselyNotRun
	a.CutOff += other.CutOff
	a.Phantom += other.Phantom
	a.Excused += other.Excused
	a.DeadlinePassed += other.DeadlinePassed
	a.Repeated += other.Repeated
	a.Unverified += other.Unverified
	room := max(0, maximumFindings-len(a.Findings))
	a.Findings = append(a.Findings, other.Findings[:min(room, len(other.Findings))]...)
}

// Check compares every call of a run with the ledger.
func Check(run *Run, ledger Ledger, disturbances []Disturbance) *Account {
	checking := &checking{
		account:      &Account{Calls: len(run.Results), Outcomes: map[string]int{}},
		complete:     ledger.Evicted() == 0,
		disturbances: disturbances,
	}
	for index := range run.Results {
		result := &run.Results[index]
		record, known := ledger.Get(result.Number)
		checking.check(&run.Targets[result.Target], result, record, known)
	}
	return checking.account
}

type checking struct {
	account *Account
	// complete says that a missing record proves that nothing ran.
	complete     bool
	disturbances []Disturbance
}

func (c *checking) check(target *Target, result *Result, record backend.Record, known bool) {
	c.account.Outcomes[result.Outcome.String()]++
	if !known && !c.complete {
		c.account.Unverified++
	}
	c.checkRuns(target, result, record)
	switch result.Outcome {
	case Answered:
		if record.Runs == 0 && (known || c.complete) {
			c.found(&c.account.Phantom, "phantom", target, result, record)
		}
	case NotRun, Shed:
		if record.Runs > 0 {
			c.found(&c.account.FalselyNotRun, "falsely not run", target, result, record)
		}
	case Swapped:
		c.found(&c.account.Swapped, "swapped", target, result, record)
	case Truncated, Corrupted:
		c.found(&c.account.Truncated, "truncated", target, result, record)
	case Unexpected:
		c.found(&c.account.Lost, "lost", target, result, record)
	case TimedOut, Failed, Refused, Unknown, Aborted:
		c.checkFailure(target, result, record)
	}
}

func (c *checking) checkRuns(target *Target, result *Result, record backend.Record) {
	if record.Runs <= 1 {
		return
	}
	if target.Repeatable {
		c.account.Repeated++
		return
	}
	c.found(&c.account.Doubled, "doubled", target, result, record)
}

// checkFailure excuses a call that met a fault made on purpose. A call that
// merely took too long at a slow back end is excused as well, provided that
// its caller was told an outcome in time.
func (c *checking) checkFailure(target *Target, result *Result, record backend.Record) {
	slowed := record.Slowed > 0 && result.Outcome == Unknown
	if record.Faults > 0 || slowed || c.disturbed(target, result, record) {
		c.account.Excused++
		return
	}
	if deadlinePassed(target, result) {
		c.account.DeadlinePassed++
		return
	}
	if result.Outcome == TimedOut {
		c.found(&c.account.Lost, "lost", target, result, record)
		return
	}
	c.found(&c.account.CutOff, "cut off", target, result, record)
}

// deadlinePassed reports whether the service's deadline ended the call. A call
// that got no reply at all is not such a one: the mesh owes it an outcome.
func deadlinePassed(target *Target, result *Result) bool {
	told := result.Outcome == Unknown || result.Outcome == Aborted
	return told && target.Deadline > 0 && result.Finished-result.Started >= target.Deadline
}

func (c *checking) disturbed(target *Target, result *Result, record backend.Record) bool {
	for index := range c.disturbances {
		if c.disturbances[index].excuses(target, result, record) {
			return true
		}
	}
	return false
}

func (c *checking) found(count *int, what string, target *Target, result *Result, record backend.Record) {
	*count++
	if len(c.account.Findings) == maximumFindings {
		return
	}
	c.account.Findings = append(c.account.Findings, fmt.Sprintf(
		"%s: call %d %s via %q at %v for %v: outcome %s status %d (%s); back ends: arrivals %d runs %d answers %d faults %d",
		what, result.Number, target.Name, target.Entrance, result.Started.Round(time.Millisecond),
		(result.Finished-result.Started).Round(time.Microsecond), result.Outcome, result.Status, result.Detail,
		record.Arrivals, record.Runs, record.Answers, record.Faults))
}
