// Package machinelist is the stand-in of the platform's list of live and
// leaving machines. The list lags: a change shows only after a set delay.
package machinelist

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/kestrelstream/kestrelstream/internal/membership/machines"
)

// List holds the machines and the changes that do not show yet. It is safe for
// concurrent use.
type List struct {
	lag time.Duration
	now func() time.Time

	mutex   sync.Mutex // guards all below
	shown   map[string]machines.Machine
	pending []change
}

type change struct {
	at      time.Time
	machine machines.Machine
}

// New returns an empty list. A nil clock means time.Now.
func New(lag time.Duration, now func() time.Time) *List {
	if now == nil {
		now = time.Now
	}
	return &List{lag: lag, now: now, shown: map[string]machines.Machine{}}
}

// Set changes a machine; the change shows after the lag.
func (l *List) Set(machine machines.Machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending = append(l.pending, change{at: l.now().Add(l.lag), machine: machine})
}

// Shown returns what the platform says now, by name.
func (l *List) Shown() machines.List {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		due := l.pending[0].machine
		l.shown[due.Name] = due
		l.pending = l.pending[1:]
	}
	list := machines.List{Machines: []machines.Machine{}}
	for _, machine := range l.shown {
		list.Machines = append(list.Machines, machine)
	}
	slices.SortFunc(list.Machines, func(a, b machines.Machine) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// NewHandler serves the list: GET machines.Path reads it, and PUT
// machines.Path/{name} changes one machine, for trials.
func NewHandler(list *List) http.Handler {
	routes := new(restful.WebService)
	routes.Path(machines.Path).Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	routes.Route(routes.GET("").To(list.serve))
	routes.Route(routes.PUT("/{name}").To(list.change))
	container := restful.NewContainer()
	container.Add(routes)
	return container
}

func (l *List) serve(_ *restful.Request, response *restful.Response) {
	_ = response.WriteEntity(l.Shown())
}

func (l *List) change(request *restful.Request, response *restful.Response) {
	var machine machines.Machine
	if err := request.ReadEntity(&machine); err != nil {
		_ = response.WriteError(http.StatusBadRequest, err)
		return
	}
	if machine.Condition != machines.Live && machine.Condition != machines.Leaving {
		_ = response.WriteErrorString(http.StatusBadRequest, "condition: must be \"live\" or \"leaving\"")
		return
	}
	machine.Name = request.PathParameter("name")
	l.Set(machine)
	response.WriteHeader(http.StatusNoContent)
}
