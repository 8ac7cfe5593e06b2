package flood

import (
	"context"

	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
	"github.com/kestrelstream/kestrelstream/internal/load"
)

// measurement gathers phases with and without the flood.
type measurement struct {
	command *Command
	mesh    *mesh.Mesh
	flooded string
	next    uint64
	// unflooded and during hold the other services' latencies.
	unflooded *load.Histogram
	during    *load.Histogram
	lateness  *load.Histogram
	result    *Summary
}

func newMeasurement(command *Command, running *mesh.Mesh) *measurement {
	flooded := floodedService(running.Deployment())
	return &measurement{
		command: command, mesh: running, flooded: flooded, next: 1,
		unflooded: load.NewHistogram(), during: load.NewHistogram(), lateness: load.NewHistogram(),
		result: &Summary{Flooded: flooded, Rate: command.Rate, Factor: command.Factor, Account: &load.Account{}},
	}
}

// run alternates phases; the first pair only warms up.
func (m *measurement) run(ctx context.Context) {
	for round := range m.command.Rounds + 1 {
		quiet, flood := m.phase(ctx, 1), m.phase(ctx, m.command.Factor)
		if round > 0 {
			m.take(quiet, m.unflooded)
			m.take(flood, m.during)
			m.count(flood)
		}
	}
}

// phase sends calls with the flooded service at a multiple of its rate.
func (m *measurement) phase(ctx context.Context, factor float64) *load.Run {
	targets := m.mesh.Targets()
	perService := map[string]int{}
	for _, target := range targets {
		perService[target.Service] += target.Weight
	}
	for index := range targets {
		targets[index].Weight = m.weight(&targets[index], perService[targets[index].Service], factor)
	}
	rate := m.command.Rate * (float64(len(perService)-1) + factor)
	calls := int(rate * m.command.Phase.Seconds())
	plan := load.Plan{Seed: m.command.Seed + m.next, Rate: rate, Calls: calls, FirstNumber: m.next, Targets: targets}
	m.next += uint64(calls)
	run := load.NewGenerator(plan).Run(ctx)
	m.result.Account.Add(load.Check(run, m.mesh.Ledger(), nil))
	return run
}

// weightScale keeps shares of a service whole numbers.
const weightScale = 1000

// weight gives each service the same share, the flooded one a multiple.
func (m *measurement) weight(target *load.Target, sum int, factor float64) int {
	share := weightScale * float64(target.Weight) / float64(sum)
	if target.Service == m.flooded {
		share *= factor
	}
	return int(share)
}

func (m *measurement) take(run *load.Run, into *load.Histogram) {
	for index := range run.Results {
		result := &run.Results[index]
		m.lateness.Record(result.Lateness())
		if result.Outcome == load.Answered && run.Targets[result.Target].Service != m.flooded {
			into.Record(result.Latency())
		}
	}
}

func (m *measurement) count(run *load.Run) {
	for index := range run.Results {
		result := &run.Results[index]
		answered := result.Outcome == load.Answered
		switch {
		case run.Targets[result.Target].Service != m.flooded:
			if !answered {
				m.result.OthersRefused++
			}
		case answered:
			m.result.FloodedAnswered++
		default:
			m.result.FloodedShed++
		}
	}
}

func (m *measurement) summary() *Summary {
	result := m.result
	result.OthersUnflooded, result.OthersFlooded = m.unflooded.Summary(), m.during.Summary()
	result.P99Ratio = result.OthersFlooded.P99MS / result.OthersUnflooded.P99MS
	result.Generator = m.lateness.Summary()
	result.Kept = result.P99Ratio <= allowedRatio && result.OthersRefused == 0 && result.Account.Broken() == 0
	return result
}
