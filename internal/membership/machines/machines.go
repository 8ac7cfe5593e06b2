// Package machines polls the platform's list of machines. The list may be out of
// date. "leaving" is acted on immediately, because it is safe to stop sending
// work to a machine; "live" does not prove that a machine is running and never
// triggers an action.
package machines

// Condition is the state of a machine as reported by the platform.
type Condition string

// The conditions of a machine.
const (
	Live    Condition = "live"
	Leaving Condition = "leaving"
)

// Machine is one entry of the list. Name is the node name of the processes on
// the machine. Started is the start time in Unix milliseconds and distinguishes a
// machine from a predecessor of the same name; it is zero if the platform does
// not report it.
type Machine struct {
	Name      string    `json:"name"`
	Zone      string    `json:"zone,omitempty"`
	Condition Condition `json:"condition"`
	Started   uint64    `json:"started,omitempty"`
}

// List is the response body of the platform's machine list.
type List struct {
	Machines []Machine `json:"machines"`
}

// Tracker detects machines that start leaving between successive lists. It
// performs no I/O and is not safe for concurrent use.
type Tracker struct {
	leaving map[string]uint64
}

// NewTracker returns a tracker that has not observed a list yet.
func NewTracker() *Tracker { return &Tracker{leaving: map[string]uint64{}} }

// Observe processes a list and returns the machines that are newly reported as
// leaving, in list order. A machine that was leaving and is now listed as live,
// or as leaving with a later start time, is treated as a successor of the same
// name. The absence of a machine has no effect, because the list may be
// truncated.
func (t *Tracker) Observe(list List) []Machine {
	var newlyLeaving []Machine
	for _, machine := range list.Machines {
		if t.record(machine) {
			newlyLeaving = append(newlyLeaving, machine)
		}
	}
	return newlyLeaving
}

func (t *Tracker) record(machine Machine) (newlyLeaving bool) {
	started, known := t.leaving[machine.Name]
	switch {
	case machine.Condition == Live && known && machine.Started >= started:
		delete(t.leaving, machine.Name)
		return false
	case machine.Condition != Leaving:
		return false
	case known && machine.Started <= started:
		return false
	default:
		t.leaving[machine.Name] = machine.Started
		return true
	}
}
