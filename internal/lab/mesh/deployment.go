// Package mesh runs a whole mesh in one process over loopback sockets: the
// stand-in store, control daemons, proxies and back ends of a deployment. Its
// nodes can be stopped as planned, killed without warning and started again.
package mesh

import (
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/examples"
)

// Deployment describes the processes of one of the users' deployments.
type Deployment struct {
	Name  string
	Zones []string
	// Upstreams are the back ends with their proxies.
	Upstreams []Upstream
	// Slots is how many requests one upstream runs at once.
	Slots int
	// Entrances are the proxies callers use.
	Entrances []Entrance
	// Calls are the kinds of calls callers make.
	Calls []Call
	// BatchWindow is how long relays gather changes.
	BatchWindow time.Duration
}

// Upstream is one back end of a service.
type Upstream struct {
	Service string
	Name    string
	Zone    string
}

// Entrance is a caller's proxy with the identities it acts for.
type Entrance struct {
	Name     string
	Zone     string
	Services []string
}

// Call is one kind of call.
type Call struct {
	Name       string
	Service    string
	Method     string
	Host       string
	Path       string
	Repeatable bool
	Weight     int
}

// DeploymentNamed returns a deployment by its name.
func DeploymentNamed(name string) (Deployment, error) {
	switch name {
	case examples.EV:
		return chargingDeployment(), nil
	case examples.Depot:
		return depotDeployment(), nil
	default:
		return Deployment{}, trace.BadParameter("deployment %q must be %s or %s", name, examples.EV, examples.Depot)
	}
}

func chargingDeployment() Deployment {
	deployment := Deployment{
		Name:  examples.EV,
		Zones: []string{"centre", "harbour", "north", "west"},
		Slots: 20,
		Calls: []Call{
			{"tariffs", "tariff-publication", http.MethodGet, "tariffs.charging.example", "/v1/tariffs", true, 4},
			{"session-start", "session-control", http.MethodPost, "sessions.charging.example", "/v1/sessions/start", false, 3},
			{"session-stop", "session-control", http.MethodPost, "sessions.charging.example", "/v1/sessions/stop", false, 3},
			{"session-status", "session-control", http.MethodGet, "sessions.charging.example", "/v1/sessions/17", true, 2},
			{"charge-point-status", "charge-point-network", http.MethodGet, "charge-points.charging.example", "/v1/charge-points/4", true, 3},
		},
	}
	for _, service := range []string{"tariff-publication", "session-control", "charge-point-network"} {
		deployment.addUpstreams(service, deployment.Zones)
	}
	deployment.addEntrances("driver-app", "kerbside-terminal", "roaming-partner")
	return deployment
}

func depotDeployment() Deployment {
	deployment := Deployment{
		Name:        examples.Depot,
		Zones:       []string{"coast", "inland", "river"},
		Slots:       10,
		BatchWindow: 200 * time.Millisecond,
		Calls: []Call{
			{"tank-levels", "tank-monitoring", http.MethodGet, "tanks.depots.example", "/v1/tanks/3", true, 4},
			{"tank-reading", "tank-monitoring", http.MethodPut, "tanks.depots.example", "/v1/readings/3", true, 2},
			{"dispatch-plan", "dispatch-and-confirmation", http.MethodGet, "dispatch.depots.example", "/v1/plans/today", true, 2},
			{"delivery-confirmation", "dispatch-and-confirmation", http.MethodPost, "dispatch.depots.example", "/v1/confirmations", false, 4},
			{"price-list", "pricing-and-accounts", http.MethodGet, "accounts.depots.example", "/v1/prices", true, 3},
			{"monthly-statement", "pricing-and-accounts", http.MethodGet, "accounts.depots.example", "/v1/statements/9", true, 1},
		},
	}
	deployment.addUpstreams("tank-monitoring", append([]string{"river"}, deployment.Zones...))
	deployment.addUpstreams("dispatch-and-confirmation", deployment.Zones)
	deployment.addUpstreams("pricing-and-accounts", deployment.Zones)
	deployment.addEntrances("clerk", "dispatcher", "driver-phone", "tank-sensor")
	return deployment
}

func (d *Deployment) addUpstreams(service string, zones []string) {
	for index, zone := range zones {
		name := fmt.Sprintf("%s-%d", service, index+1)
		d.Upstreams = append(d.Upstreams, Upstream{Service: service, Name: name, Zone: zone})
	}
}

func (d *Deployment) addEntrances(services ...string) {
	for _, zone := range d.Zones {
		d.Entrances = append(d.Entrances, Entrance{Name: "callers-" + zone, Zone: zone, Services: services})
	}
}
