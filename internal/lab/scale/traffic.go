package scale

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/lab/usage"
	"github.com/kestrelstream/kestrelstream/internal/standin/keyvalue"
)

// reading is what was counted up to one moment.
type reading struct {
	at time.Time
	// hollow and daemons hold the bytes on the control connections, by name.
	hollow  map[string]uint64
	daemons map[string]uint64
	// messages are counted once, at the sender, by kind.
	messages map[string]stream.Count
	usage    usage.Usage
	store    keyvalue.Statistics
}

func (w *world) read() reading {
	taken := reading{at: time.Now(), hollow: map[string]uint64{}, daemons: map[string]uint64{}, messages: map[string]stream.Count{}, usage: usage.Read(), store: w.mesh.Store.Statistics()}
	for _, member := range w.fleet.Members() {
		totals := member.Traffic().Totals()
		taken.hollow[member.Options().Node.Name] = totals.ConnectionBytesSent + totals.ConnectionBytesReceived
		taken.addMessages(totals.Sent)
	}
	for _, control := range w.mesh.Control {
		taken.daemons[control.Name()] = control.ControlBytes()
		taken.addMessages(control.Daemon().Traffic().Totals().Sent)
	}
	return taken
}

func (r *reading) addMessages(counts map[string]stream.Count) {
	for kind, count := range counts {
		held := r.messages[kind]
		held.Messages += count.Messages
		held.Bytes += count.Bytes
		r.messages[kind] = held
	}
}

// Rate is a quantity per node and second over a window.
type Rate struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

// Window is what was measured between two readings.
type Window struct {
	Seconds float64 `json:"seconds"`
	// Proxy, Relay, Reader and Daemon are the control bytes, sent and
	// received, of one process of each role a second; a daemon in no role is
	// counted as Daemon.
	Proxy  Rate `json:"proxy_bytes_per_second"`
	Relay  Rate `json:"relay_bytes_per_second"`
	Reader Rate `json:"reader_bytes_per_second"`
	Daemon Rate `json:"daemon_bytes_per_second"`
	// TotalBytes is what crossed all control connections, each byte counted
	// once.
	TotalBytes uint64                  `json:"total_bytes"`
	Messages   map[string]stream.Count `json:"messages"`
	CPUSeconds float64                 `json:"cpu_seconds"`
	Allocated  uint64                  `json:"allocated_bytes"`
	// StoreRequests are those of all processes together.
	StoreRequests uint64 `json:"store_requests"`
	StoreWatches  int64  `json:"store_watches"`
}

// roles says which daemon has which role.
type roles struct {
	relays, readers map[string]bool
}

func (w *world) roles() roles {
	found := roles{relays: map[string]bool{}, readers: w.readers()}
	for _, relay := range w.relays() {
		found.relays[relay.Name()] = true
	}
	return found
}

func window(before, after reading, roles roles) Window {
	seconds := after.at.Sub(before.at).Seconds()
	used := after.usage.Since(before.usage)
	measured := Window{
		Seconds: seconds, Messages: map[string]stream.Count{},
		CPUSeconds: used.Processor.Seconds(), Allocated: used.AllocatedBytes,
		StoreRequests: after.store.Requests() - before.store.Requests(), StoreWatches: after.store.OpenWatches,
	}
	hollow := differences(before.hollow, after.hollow)
	daemons := differences(before.daemons, after.daemons)
	measured.Proxy = rate(hollow, seconds, func(string) bool { return true })
	measured.Reader = rate(daemons, seconds, func(name string) bool { return roles.readers[name] })
	measured.Relay = rate(daemons, seconds, func(name string) bool { return roles.relays[name] && !roles.readers[name] })
	measured.Daemon = rate(daemons, seconds, func(name string) bool { return !roles.relays[name] && !roles.readers[name] })
	// Both ends count a byte.
	measured.TotalBytes = (sum(hollow) + sum(daemons)) / 2
	for kind, count := range after.messages {
		earlier := before.messages[kind]
		difference := stream.Count{Messages: count.Messages - earlier.Messages, Bytes: count.Bytes - earlier.Bytes}
		if difference.Messages > 0 {
			measured.Messages[kind] = difference
		}
	}
	return measured
}

func differences(before, after map[string]uint64) map[string]uint64 {
	changed := map[string]uint64{}
	for name, bytes := range after {
		changed[name] = bytes - before[name]
	}
	return changed
}

func sum(counts map[string]uint64) uint64 {
	var total uint64
	for _, count := range counts {
		total += count
	}
	return total
}

func rate(bytes map[string]uint64, seconds float64, of func(name string) bool) Rate {
	var result Rate
	count := 0
	for name, each := range bytes {
		if !of(name) {
			continue
		}
		perSecond := float64(each) / seconds
		result.Mean += perSecond
		result.Max = max(result.Max, perSecond)
		count++
	}
	if count > 0 {
		result.Mean /= float64(count)
	}
	return result
}
