// Package machines reads the platform's list of machines. The list lags:
// "leaving" is believed at once, since to stop sending work to a machine is the
// safe direction; "live" proves nothing and is never acted upon.
package machines

// Condition is what the platform says of a machine.
type Condition string

// The conditions of a machine.
const (
	Live    Condition = "live"
	Leaving Condition = "leaving"
)

// Machine is one line of the list. Name is the node name of the processes on
// it. Started tells a machine from its predecessor of the same name, in Unix
// milliseconds; zero when the platform does not say.
type Machine struct {
	Name      string    `json:"name"`
	Zone      string    `json:"zone,omitempty"`
	Condition Condition `json:"condition"`
	Started   uint64    `json:"started,omitempty"`
}

// List is the platform's answer.
type List struct {
	Machines []Machine `json:"machines"`
}

// Tracker finds what is new in successive lists. It is pure and not safe for
// concurrent use.
type Tracker struct {
	leaving map[string]uint64
}

// NewTracker returns a tracker that has seen no list.
func NewTracker() *Tracker { return &Tracker{leaving: map[string]uint64{}} }

// Observe takes in a list and returns the machines that it is the first to name
// as leaving, in the list's order. A machine that was leaving and is listed as
// live, or as leaving with a later start, is a successor of the same name. A
// machine missing from the list says nothing: the list may be cut short.
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
