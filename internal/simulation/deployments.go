package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

var deployments = map[string]func() Scenario{
	"ev":     chargingScenario,
	"depot":  depotScenario,
	"mixed":  mixedScenario,
	"target": targetScenario,
}

// Deployment returns the scenario of a deployment by name.
func Deployment(name string) (Scenario, bool) {
	build, known := deployments[name]
	if !known {
		return Scenario{}, false
	}
	return build(), true
}

// DeploymentNames lists the deployments.
func DeploymentNames() []string { return slices.Sorted(maps.Keys(deployments)) }

// chargingScenario is the charging contractor of today: four zones in one
// city, three services with four upstreams each, one caller proxy a zone.
func chargingScenario() Scenario {
	return Scenario{
		Name:           "ev",
		Duration:       Duration(time.Hour),
		StartUp:        seconds(20),
		Zones:          zones(4, 1),
		Proxies:        16,
		Upstreams:      12,
		DaemonsPerZone: 4,
		Services:       3,
		CalledServices: 2,
		PlacementScope: scopeAll,
		Latency:        Latency{SameZone: milliseconds(1) / 5, SameRegion: milliseconds(3) / 2, CrossRegion: milliseconds(30), JitterPercent: 10},
		Changes:        Changes{PerDay: 2000, Operators: 2},
		Churn:          Churn{Interval: Duration(30 * time.Minute)},
		Store:          StoreLimits{RequestsPerSecond: 100, ServiceTime: milliseconds(1)},
		Distribution:   Distribution{Mode: ModeTree, Compression: "zstd"},
	}
}

// depotScenario is the depot network of today: three zones, three services
// with four, three and three upstreams, one caller proxy a zone.
func depotScenario() Scenario {
	scenario := chargingScenario()
	scenario.Name = "depot"
	scenario.Zones = zones(3, 1)
	scenario.Proxies = 13
	scenario.Upstreams = 10
	scenario.Latency.SameRegion = milliseconds(1)
	scenario.Distribution.BatchWindow = depotBatchWindow
	return scenario
}

// depotBatchWindow is chosen in docs/design/0004 from the sweep.
var depotBatchWindow = milliseconds(100)

// targetScenario is the size to build towards: 1,000 proxies each beside an
// upstream, 39 services, 11 zones in 3 regions.
func targetScenario() Scenario {
	return Scenario{
		Name:           "target",
		Duration:       Duration(time.Hour),
		StartUp:        seconds(120),
		Zones:          zones(11, 3),
		Proxies:        1000,
		Upstreams:      1000,
		DaemonsPerZone: 4,
		Services:       39,
		CalledServices: 6,
		PlacementScope: scopeRegion,
		Latency:        Latency{SameZone: milliseconds(1) / 5, SameRegion: milliseconds(3) / 2, CrossRegion: milliseconds(30), JitterPercent: 10},
		Changes:        Changes{PerDay: 740, Operators: 4},
		Churn:          Churn{Interval: Duration(24 * time.Hour * 7)},
		Store:          StoreLimits{RequestsPerSecond: 100, ServiceTime: milliseconds(1)},
		Distribution: Distribution{
			Mode: ModeTree, Compression: "zstd", BatchWindow: milliseconds(150),
			Heartbeat: seconds(1), Silence: milliseconds(2200),
			AckWindow: seconds(4), LazyAckWindow: seconds(10), StatusWindow: seconds(8), StatusInterval: seconds(20),
		},
	}
}

// mixedScenario is a small system of three regions in which changes, restarts
// of endpoints, calls and faults of every kind come much more often than they
// ever will, so that they meet.
func mixedScenario() Scenario {
	scenario := chargingScenario()
	scenario.Name = "mixed"
	scenario.Duration = Duration(5 * time.Minute)
	scenario.Zones = zones(6, 3)
	scenario.Proxies = 36
	scenario.Upstreams = 24
	scenario.Services = 6
	scenario.CalledServices = 3
	scenario.PlacementScope = scopeRegion
	scenario.Changes = Changes{PerDay: 20000, Operators: 3}
	scenario.Churn.Interval = Duration(2 * time.Minute)
	scenario.Calls.Interval = milliseconds(500)
	scenario.RandomFaults = RandomFaults{Interval: seconds(5), MaximumDuration: seconds(20)}
	return scenario
}

// zones returns count zones spread over regions in turn.
func zones(count, regions int) []Zone {
	list := make([]Zone, count)
	for i := range list {
		list[i] = Zone{Name: fmt.Sprintf("z%d", i+1), Region: fmt.Sprintf("r%d", i%regions+1)}
	}
	return list
}
