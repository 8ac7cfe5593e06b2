package scale

import (
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/hollow"
	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
	"github.com/kestrelstream/kestrelstream/internal/membership"
	"github.com/kestrelstream/kestrelstream/internal/settings"
)

// topology says how many processes of which kind there are.
type topology struct {
	Proxies        int `json:"proxies" default:"1000" help:"Hollow proxies."`
	RealProxies    int `json:"real_proxies" default:"3" help:"Real proxies, with a data path and a back end each."`
	Zones          int `json:"zones" default:"11" help:"Zones."`
	Regions        int `json:"regions" default:"3" help:"Regions the zones are spread over."`
	Services       int `json:"services" default:"39" help:"Services."`
	CalledServices int `json:"called_services" default:"6" help:"Others that each service calls."`
	DaemonsPerZone int `json:"daemons_per_zone" default:"4" help:"Control daemons of each zone."`
	RelaysPerZone  int `json:"relays_per_zone" default:"3" help:"Daemons of each zone that relay to its other processes."`
}

func (t topology) check() error {
	for _, each := range []struct {
		name           string
		value, minimum int
	}{
		{"--proxies", t.Proxies, 1}, {"--real-proxies", t.RealProxies, 0}, {"--zones", t.Zones, 1},
		{"--regions", t.Regions, 1}, {"--services", t.Services, 1}, {"--called-services", t.CalledServices, 0},
		{"--daemons-per-zone", t.DaemonsPerZone, 1}, {"--relays-per-zone", t.RelaysPerZone, 1},
	} {
		if each.value < each.minimum {
			return trace.BadParameter("%s: %d must be at least %d", each.name, each.value, each.minimum)
		}
	}
	if t.CalledServices >= t.Services && t.CalledServices > 0 {
		return trace.BadParameter("--called-services: %d must be below --services (%d)", t.CalledServices, t.Services)
	}
	return nil
}

func (t topology) zone(index int) string { return fmt.Sprintf("z%d", index%t.Zones+1) }

func (t topology) region(zone int) string { return fmt.Sprintf("r%d", zone%t.Regions+1) }

// regionOf returns the region of a zone by its name.
func (t topology) regionOf(zone string) string {
	for index := range t.Zones {
		if t.zone(index) == zone {
			return t.region(index)
		}
	}
	return ""
}

// service returns the service beside a proxy. Zones and services advance at
// different paces, so that every service has endpoints in many zones.
func (t topology) service(proxy int) string {
	return serviceName((proxy + proxy/t.Zones) % t.Services)
}

// deployment describes the real processes: control daemons in every zone and a
// few proxies with their back ends.
func (t topology) deployment() mesh.Deployment {
	deployment := mesh.Deployment{Name: "scale", Slots: slotsPerEndpoint}
	for index := range t.Zones {
		deployment.Zones = append(deployment.Zones, t.zone(index))
	}
	for index := range t.RealProxies {
		deployment.Upstreams = append(deployment.Upstreams, mesh.Upstream{
			Service: t.service(index), Name: fmt.Sprintf("real-%04d", index), Zone: t.zone(index),
		})
	}
	return deployment
}

// meshOptions describe the mesh of the real processes.
func (t topology) meshOptions(log io.Writer) mesh.Options {
	return mesh.Options{
		Deployment: t.deployment(), ControlPerZone: t.DaemonsPerZone, Resources: initialResources(t), Log: log,
		TuneDaemon: func(loaded *settings.Daemon) {
			loaded.Node.Region = t.regionOf(loaded.Node.Zone)
			loaded.Distribution.RelaysPerZone = t.RelaysPerZone
			t.placeSeeds(loaded.Seeds)
		},
		TuneProxy: func(loaded *settings.Proxy) {
			loaded.Node.Region = t.regionOf(loaded.Node.Zone)
			loaded.Stream.RelaysPerZone = t.RelaysPerZone
			t.placeSeeds(loaded.Seeds)
		},
	}
}

func (t topology) placeSeeds(seeds []settings.Seed) {
	for index := range seeds {
		seeds[index].Region = t.regionOf(seeds[index].Zone)
	}
}

// hollowOptions describe the hollow proxies, each beside an endpoint.
func (t topology) hollowOptions(members []membership.Member, logger *zap.Logger) []hollow.Options {
	options := make([]hollow.Options, t.Proxies)
	stream := settings.DefaultProxy().Stream
	stream.RelaysPerZone = t.RelaysPerZone
	for index := range options {
		name, zone, service := fmt.Sprintf("hollow-%04d", index), t.zone(index), t.service(index)
		options[index] = hollow.Options{
			Node:     distribution.Node{Name: name, Zone: zone, Region: t.regionOf(zone)},
			Services: []string{service},
			Endpoint: &endpoint.Update{
				ID: endpoint.ID{Service: service, Name: name}, State: endpoint.Ready, Zone: zone,
				Address: hollowAddress(index), Labels: map[string]string{"service": service},
			},
			Members: members,
			Stream:  stream,
			Logger:  logger.With(zap.String("node", name)),
		}
	}
	return options
}

// hollowAddress is an address of the range set aside for benchmarks (RFC 2544):
// nobody calls hollow endpoints.
func hollowAddress(index int) string {
	const hostsPerNetwork = 250
	return fmt.Sprintf("198.18.%d.%d:8080", index/hostsPerNetwork, index%hostsPerNetwork+1)
}

// members lists the control daemons of a mesh.
func members(running *mesh.Mesh) []membership.Member {
	list := make([]membership.Member, len(running.Control))
	for index, control := range running.Control {
		list[index] = membership.Member{
			Name: control.Name(), Zone: control.Zone(), Region: control.Region(), Address: control.StreamAddress(),
		}
	}
	return list
}

// newRandom returns the source of everything a run draws.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
