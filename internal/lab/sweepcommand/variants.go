package sweepcommand

import (
	"fmt"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/simulation"
)

// variant is one point of the sweep.
type variant struct {
	// group names the setting that is varied, label its value.
	group, label string
	change       func(*simulation.Scenario)
}

// The groups of variants.
const (
	groupWindow      = "batch window"
	groupRelays      = "relays a zone"
	groupContent     = "delta or snapshot"
	groupCompression = "compression"
	groupHeartbeat   = "heartbeat"
	groupBaseline    = "baseline"
)

func duration(value time.Duration) simulation.Duration { return simulation.Duration(value) }

// variants lists every point; each changes one setting of the deployment.
func variants() []variant {
	list := windowVariants()
	for relays := 1; relays <= 4; relays++ {
		list = append(list, variant{groupRelays, fmt.Sprint(relays), func(s *simulation.Scenario) { s.Distribution.RelaysPerZone = relays }})
	}
	for label, snapshots := range map[string]bool{"delta": false, "snapshot": true} {
		list = append(list, variant{groupContent, label, func(s *simulation.Scenario) { s.Distribution.AlwaysSnapshot = snapshots }})
	}
	for _, compression := range []string{"none", "gzip", "zstd"} {
		list = append(list, variant{groupCompression, compression, func(s *simulation.Scenario) { s.Distribution.Compression = compression }})
	}
	for _, heartbeat := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond, time.Second, 2 * time.Second} {
		list = append(list, variant{groupHeartbeat, heartbeat.String(), func(s *simulation.Scenario) {
			s.Distribution.Heartbeat = duration(heartbeat)
			s.Distribution.Silence = duration(heartbeat * silentTenths / 10)
		}})
	}
	return append(list, baselineVariants()...)
}

// silentTenths is the silence after which a parent is given up, in tenths of a
// heartbeat.
const silentTenths = 22

func windowVariants() []variant {
	var list []variant
	for _, window := range []time.Duration{0, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
		200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		list = append(list, variant{groupWindow, window.String(), func(s *simulation.Scenario) { s.Distribution.BatchWindow = duration(window) }})
	}
	return list
}

func baselineVariants() []variant {
	list := []variant{{groupBaseline, "every proxy watches the store", func(s *simulation.Scenario) {
		s.Distribution.Mode = simulation.ModeWatch
		s.Distribution.Compression = "none"
	}}}
	for _, interval := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second} {
		list = append(list, variant{groupBaseline, "polling every " + interval.String(), func(s *simulation.Scenario) {
			s.Distribution.Mode = simulation.ModePoll
			s.Distribution.PollInterval = duration(interval)
			s.Distribution.Compression = "none"
			// The store's rate limit would refuse most of the polls.
			s.Store.RequestsPerSecond = 0
		}})
	}
	return append(list, variant{groupBaseline, "tree with full snapshots", func(s *simulation.Scenario) { s.Distribution.AlwaysSnapshot = true }})
}
