package simulation

import (
	"fmt"
	"strings"
)

// ExplainScenario describes the fields of a scenario file.
func ExplainScenario() string {
	var text strings.Builder
	text.WriteString(scenarioHelp)
	text.WriteString("\nFault kinds:\n")
	for _, kind := range FaultKinds {
		fmt.Fprintf(&text, "  %s\n", kind)
	}
	fmt.Fprintf(&text, "\nTargets: %s, or the name of a node, zone or region.\n", strings.Join(groupTargets, ", "))
	return text.String()
}

const scenarioHelp = `A scenario is a YAML file. What it leaves out is as in its base deployment.

base: ev                   ev, depot, target or mixed
name: text                 shown in reports
duration: 1h               virtual time after the start-up
startUp: 20s               before load, faults and measuring begin
zones:                     the store lives in the first
  - {name: z1, region: r1}
proxies: 16                spread over the zones in turn
upstreams: 12              how many of them have an endpoint beside them
daemonsPerZone: 4          control daemons a zone
services: 3
calledServices: 2          how many other services each service calls
placementScope: all        zones that may serve a caller: zone, region, all
latency:                   one way
  sameZone: 200us
  sameRegion: 1.5ms
  crossRegion: 30ms
  jitterPercent: 10        up to that share more, drawn for each message
changes:
  perDay: 740              exponential intervals; one in five is a race
  operators: 4             operators in a race
churn:
  interval: 168h           mean time between restarts of one endpoint; 0 never
calls:
  interval: 0s             mean time between a proxy's non-repeatable calls
store:
  requestsPerSecond: 100   rate limit, 0 for none
  serviceTime: 1ms
distribution:              zero keeps the default
  mode: tree               tree, or the baselines watch and poll
  batchWindow: 0s
  relaysPerZone: 3
  heartbeat: 750ms
  silence: 1800ms
  keepAlive: 20s
  ackWindow: 100ms         spread of reports of new content
  lazyAckWindow: 2s        spread of reports of a version that changed nothing
  statusWindow: 500ms      combining of summaries on their way up
  statusInterval: 2s       least time between summaries to one control daemon
  alwaysSnapshot: false    full snapshots in place of deltas
  compression: zstd        none, gzip or zstd
  pollInterval: 0s         of the poll baseline
faults:                    the timed fault table
  - {at: 10s, duration: 5s, kind: kill-process, target: relay}
  - {at: 30s, afterChange: true, duration: 20s, kind: store-outage}
  - {at: 60s, duration: 5s, kind: slow, target: z2, delay: 100ms}
randomFaults:              drawn from the seed
  interval: 0s             mean time between two; 0 for none
  maximumDuration: 10s
  kinds: []                empty for every kind
`
