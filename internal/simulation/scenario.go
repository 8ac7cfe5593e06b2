package simulation

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"sigs.k8s.io/yaml"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Duration is written as text such as "30ms" in a scenario.
type Duration = resource.Duration

// Scenario describes one simulated system, its load and its faults.
type Scenario struct {
	// Name appears in reports.
	Name string `json:"name"`
	// Duration is the virtual time simulated after the start-up.
	Duration Duration `json:"duration"`
	// StartUp is the time given to the system before load, faults and
	// measuring begin.
	StartUp Duration `json:"startUp"`
	// Zones lists the zones; the store lives in the first.
	Zones []Zone `json:"zones"`
	// Proxies is how many proxies run, spread over zones in turn. Each of
	// the first Upstreams has an endpoint beside it.
	Proxies   int `json:"proxies"`
	Upstreams int `json:"upstreams"`
	// DaemonsPerZone is how many control daemons run in each zone.
	DaemonsPerZone int `json:"daemonsPerZone"`
	// Services is how many services there are; CalledServices is how many
	// others each of them calls.
	Services       int `json:"services"`
	CalledServices int `json:"calledServices"`
	// PlacementScope says which zones may serve a caller: zone, region or
	// all.
	PlacementScope string `json:"placementScope"`

	Latency      Latency      `json:"latency"`
	Changes      Changes      `json:"changes"`
	Churn        Churn        `json:"churn"`
	Calls        Calls        `json:"calls"`
	Store        StoreLimits  `json:"store"`
	Distribution Distribution `json:"distribution"`

	// Faults is the timed fault table.
	Faults []Fault `json:"faults"`
	// RandomFaults adds faults of every kind, drawn from the seed.
	RandomFaults RandomFaults `json:"randomFaults"`
}

// Zone is a failure domain.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Latency gives one-way delays.
type Latency struct {
	SameZone    Duration `json:"sameZone"`
	SameRegion  Duration `json:"sameRegion"`
	CrossRegion Duration `json:"crossRegion"`
	// JitterPercent adds up to that share of the delay to each message.
	JitterPercent int `json:"jitterPercent"`
}

// Changes is the operators' load: changes at exponential intervals, each made
// by one of Operators that race each other.
type Changes struct {
	PerDay    int `json:"perDay"`
	Operators int `json:"operators"`
}

// Churn is the endpoints' load: each endpoint drains, goes down and returns
// once in a mean Interval; zero means never.
type Churn struct {
	Interval Duration `json:"interval"`
}

// Calls is the hollow data path: each proxy starts non-repeatable calls at
// exponential intervals; zero means none.
type Calls struct {
	Interval Duration `json:"interval"`
}

// StoreLimits describes the platform's key-value service.
type StoreLimits struct {
	// RequestsPerSecond is the rate limit; zero means none.
	RequestsPerSecond int `json:"requestsPerSecond"`
	// ServiceTime is how long the store takes for one request.
	ServiceTime Duration `json:"serviceTime"`
}

// Mode says how configuration reaches the proxies.
type Mode string

// The modes: the tree, and the baselines it is measured against.
const (
	// ModeTree is the distribution tree.
	ModeTree Mode = "tree"
	// ModeWatch has every proxy watch the store directly.
	ModeWatch Mode = "watch"
	// ModePoll has every proxy read the store at an interval.
	ModePoll Mode = "poll"
)

// Distribution overrides settings of the tree; zero keeps the default.
type Distribution struct {
	Mode           Mode     `json:"mode"`
	BatchWindow    Duration `json:"batchWindow"`
	RelaysPerZone  int      `json:"relaysPerZone"`
	Heartbeat      Duration `json:"heartbeat"`
	Silence        Duration `json:"silence"`
	KeepAlive      Duration `json:"keepAlive"`
	AckWindow      Duration `json:"ackWindow"`
	LazyAckWindow  Duration `json:"lazyAckWindow"`
	StatusWindow   Duration `json:"statusWindow"`
	StatusInterval Duration `json:"statusInterval"`
	AlwaysSnapshot bool     `json:"alwaysSnapshot"`
	// Compression is none, gzip or zstd.
	Compression string `json:"compression"`
	// PollInterval is for the polling baseline.
	PollInterval Duration `json:"pollInterval"`
}

// RandomFaults draws faults at exponential intervals.
type RandomFaults struct {
	Interval Duration `json:"interval"`
	// MaximumDuration bounds how long one lasts.
	MaximumDuration Duration `json:"maximumDuration"`
	// Kinds restricts the kinds drawn; empty means every kind.
	Kinds []FaultKind `json:"kinds"`
}

// LoadScenario reads a scenario from a YAML file. What the file leaves out is
// as in the deployment named by its base field.
func LoadScenario(path string) (Scenario, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, trace.Wrap(err, "step=read scenario")
	}
	scenario, err := ParseScenario(content)
	return scenario, trace.Wrap(err, "step=parse scenario file=%s", path)
}

// ParseScenario reads a scenario from YAML.
func ParseScenario(content []byte) (Scenario, error) {
	var base struct {
		Base string `json:"base"`
	}
	if err := yaml.Unmarshal(content, &base); err != nil {
		return Scenario{}, err
	}
	if base.Base == "" {
		base.Base = "ev"
	}
	preset, known := Deployment(base.Base)
	if !known {
		return Scenario{}, fmt.Errorf("base: %q is not one of %s", base.Base, strings.Join(DeploymentNames(), ", "))
	}
	document := struct {
		Base string `json:"base"`
		Scenario
	}{Scenario: preset}
	if err := yaml.UnmarshalStrict(content, &document); err != nil {
		return Scenario{}, err
	}
	return document.Scenario, document.Scenario.Validate()
}

// ScenarioError lists every problem of a scenario.
type ScenarioError struct {
	Problems []string
}

// Error joins the problems, each naming its field.
func (e *ScenarioError) Error() string { return strings.Join(e.Problems, "; ") }

// Validate checks the scenario and returns every problem at once.
func (s Scenario) Validate() error {
	var problems []string
	check := func(good bool, format string, arguments ...any) {
		if !good {
			problems = append(problems, fmt.Sprintf(format, arguments...))
		}
	}
	check(s.Duration > 0, "duration: must be above zero")
	check(s.StartUp >= seconds(1), "startUp: must be at least 1s")
	check(len(s.Zones) > 0, "zones: at least one is needed")
	check(s.Proxies > 0, "proxies: must be above zero")
	check(s.Upstreams >= 0 && s.Upstreams <= s.Proxies, "upstreams: must be between zero and proxies (%d)", s.Proxies)
	check(s.DaemonsPerZone > 0, "daemonsPerZone: must be above zero")
	check(s.Services > 0, "services: must be above zero")
	check(s.CalledServices >= 0 && s.CalledServices < max(1, s.Services), "calledServices: must be below services (%d)", s.Services)
	check(slices.Contains([]string{scopeZone, scopeRegion, scopeAll}, s.PlacementScope), "placementScope: %q is not one of zone, region, all", s.PlacementScope)
	check(s.Changes.PerDay >= 0, "changes.perDay: must not be negative")
	check(s.Changes.Operators > 0, "changes.operators: must be above zero")
	check(slices.Contains([]Mode{ModeTree, ModeWatch, ModePoll}, s.Distribution.Mode), "distribution.mode: %q is not one of tree, watch, poll", s.Distribution.Mode)
	check(slices.Contains([]string{"none", "gzip", "zstd"}, s.Distribution.Compression), "distribution.compression: %q is not one of none, gzip, zstd", s.Distribution.Compression)
	check(s.Distribution.Mode != ModePoll || s.Distribution.PollInterval > 0, "distribution.pollInterval: must be above zero for polling")
	check(s.RandomFaults.Interval == 0 || s.RandomFaults.MaximumDuration > 0, "randomFaults.maximumDuration: must be above zero")
	for _, kind := range s.RandomFaults.Kinds {
		check(slices.Contains(FaultKinds, kind), "randomFaults.kinds: %q is not a fault kind", kind)
	}
	for i, fault := range s.Faults {
		for _, problem := range fault.problems(s) {
			check(false, "faults[%d].%s", i, problem)
		}
	}
	if len(problems) > 0 {
		return &ScenarioError{Problems: problems}
	}
	return nil
}

const (
	scopeZone   = "zone"
	scopeRegion = "region"
	scopeAll    = "all"
)

func milliseconds(count int) Duration { return Duration(time.Duration(count) * time.Millisecond) }

func seconds(count int) Duration { return Duration(time.Duration(count) * time.Second) }
