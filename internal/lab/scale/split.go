package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/kestrelstream/kestrelstream/internal/client"
	"github.com/kestrelstream/kestrelstream/internal/command"
	"github.com/kestrelstream/kestrelstream/internal/distribution/controlhost"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// MeasureCommand holds the flags of `kestrel-lab scale measure`.
type MeasureCommand struct {
	Changes   int           `default:"100" help:"Changes of configuration."`
	Interval  time.Duration `default:"200ms" help:"Time between two changes."`
	Idle      time.Duration `default:"10s" help:"Time measured without changes."`
	Seed      uint64        `default:"1" help:"Seed of the changes."`
	Timeout   time.Duration `default:"5m" help:"Longest time the run may take."`
	JSON      bool          `name:"json" help:"Print one JSON object."`
	Directory string        `arg:"" help:"Directory of the plan and of the file of process ids."`
}

// ProcessResult is what was measured of one process.
type ProcessResult struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Children int    `json:"children"`
	// PeakMemory and Memory are resident bytes.
	PeakMemory uint64 `json:"peak_memory_bytes"`
	Memory     uint64 `json:"memory_bytes"`
	// IdleCPU and CPU are parts of one core, without and with changes.
	IdleCPU float64 `json:"idle_cpu_fraction"`
	CPU     float64 `json:"cpu_fraction"`
	// IdleBytes and Bytes are control bytes a second, sent and received.
	IdleBytes float64 `json:"idle_bytes_per_second"`
	Bytes     float64 `json:"bytes_per_second"`
}

// SplitResult is what the command prints.
type SplitResult struct {
	Topology    topology        `json:"topology"`
	Machine     Machine         `json:"machine"`
	Changes     int             `json:"changes"`
	Convergence Spread          `json:"convergence_seconds"`
	Commit      Spread          `json:"commit_seconds"`
	PeakMemory  Memory          `json:"peak_memory_bytes"`
	NodeBytes   Rate            `json:"control_bytes_per_node_second"`
	Processes   []ProcessResult `json:"processes"`
}

// The roles of processes.
const (
	roleStore  = "store"
	roleReader = "reader"
	roleRelay  = "relay"
	roleDaemon = "daemon"
	roleProxy  = "proxy"
	roleHollow = "hollow"
)

// split is a run split over processes.
type split struct {
	plan *Plan
	pids map[string]int
}

// Run measures and prints.
func (c *MeasureCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	plan, err := readPlan(c.Directory)
	if err != nil {
		return err
	}
	pids, err := readPids(c.Directory)
	if err != nil {
		return err
	}
	progress := newProgress()
	defer progress.end()
	result, err := c.measure(ctx, &split{plan: plan, pids: pids}, progress)
	if err != nil {
		return err
	}
	progress.end()
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(result), "print result")
	}
	return result.print(os.Stdout)
}

func (c *MeasureCommand) measure(ctx context.Context, s *split, progress *progress) (*SplitResult, error) {
	result := &SplitResult{Topology: s.plan.Topology, Machine: newMachine(), Changes: c.Changes}
	progress.step("apply the initial configuration")
	initial, err := s.applyPatiently(ctx, mesh.Put(initialResources(s.plan.Topology)...))
	if err != nil {
		return result, err
	}
	progress.step("wait until it is in force")
	if err := s.waitInForce(ctx, initial.version); err != nil {
		return result, err
	}
	if err := sleep(ctx, c.Idle/2); err != nil {
		return result, err
	}
	progress.step("measure %v without changes", c.Idle)
	first, err := s.read(ctx)
	if err != nil {
		return result, err
	}
	if err := sleep(ctx, c.Idle); err != nil {
		return result, err
	}
	second, err := s.read(ctx)
	if err != nil {
		return result, err
	}
	changes, err := c.applyMany(ctx, s, progress)
	if err != nil {
		return result, err
	}
	third, err := s.read(ctx)
	if err != nil {
		return result, err
	}
	result.Processes = s.processResults(first, second, third)
	result.PeakMemory = peaks(result.Processes)
	result.NodeBytes = memberRate(first, third)
	result.Convergence, result.Commit = spreadOf(convergenceOf(changes, third.members)), spreadOf(commitTimes(changes))
	result.Machine.LoadAverageEnd = loadAverage()
	return result, nil
}

func (c *MeasureCommand) applyMany(ctx context.Context, s *split, progress *progress) ([]change, error) {
	random := newRandom(c.Seed)
	ticker := time.NewTicker(c.Interval)
	defer ticker.Stop()
	var changes []change
	for len(changes) < c.Changes {
		made, err := s.apply(ctx, s.plan.Daemons[random.IntN(len(s.plan.Daemons))].API, drawChange(s.plan.Topology, random))
		if err != nil {
			return changes, err
		}
		changes = append(changes, made)
		progress.step("change %d of %d", len(changes), c.Changes)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return changes, ctx.Err()
		}
	}
	return changes, s.waitInForce(ctx, changes[len(changes)-1].version)
}

// applyPatience is how long a change is asked for.
const applyPatience = 30 * time.Second

func (s *split) applyPatiently(ctx context.Context, changes []resource.Change) (change, error) {
	return s.apply(ctx, s.plan.Daemons[0].API, changes)
}

func (s *split) apply(ctx context.Context, address string, changes []resource.Change) (change, error) {
	made := change{sent: time.Now()}
	operator, err := client.New(address, client.Options{})
	if err != nil {
		return made, trace.Wrap(err)
	}
	defer operator.Close()
	outcome, err := operator.Apply(ctx, client.Change{
		OperationID: fmt.Sprintf("scale-%d", made.sent.UnixNano()), Changes: changes, Patience: applyPatience,
	})
	if outcome.Result != command.Accepted {
		return made, trace.BadParameter("change at %s: %s %s %v (%v)", address, outcome.Result, outcome.Reason, outcome.Fields, err)
	}
	made.version, made.acceptedAt = outcome.Version, time.Now()
	return made, nil
}

// slowPollInterval is how often the processes of hollow proxies are asked.
const slowPollInterval = 100 * time.Millisecond

func (s *split) waitInForce(ctx context.Context, version uint64) error {
	for {
		members, err := s.members(ctx)
		if err == nil && inForceEverywhere(members, s.plan.Topology.Proxies, version) {
			return nil
		}
		if err := sleep(ctx, slowPollInterval); err != nil {
			return trace.LimitExceeded("gave up while waiting for version %d", version)
		}
	}
}

func inForceEverywhere(members []HollowStatus, proxies int, version uint64) bool {
	for _, member := range members {
		if member.Version < version {
			return false
		}
	}
	return len(members) == proxies
}

func (s *split) members(ctx context.Context) ([]HollowStatus, error) {
	parts := make([][]HollowStatus, len(s.plan.Hollow))
	group, groupContext := errgroup.WithContext(ctx)
	for index, planned := range s.plan.Hollow {
		group.Go(func() error { return get(groupContext, planned.Address+pathMembers, &parts[index]) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var members []HollowStatus
	for _, part := range parts {
		members = append(members, part...)
	}
	return members, nil
}

// get reads a JSON document.
func get(ctx context.Context, address string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.Wrap(err, "read %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	return trace.Wrap(json.NewDecoder(response.Body).Decode(into), "read %s", address)
}

// splitReading is what all processes tell at one moment.
type splitReading struct {
	at        time.Time
	processes map[string]processUse
	traffic   map[string]uint64
	relays    map[string]controlhost.Status
	members   []HollowStatus
}

func (s *split) read(ctx context.Context) (splitReading, error) {
	taken := splitReading{processes: map[string]processUse{}, traffic: map[string]uint64{}, relays: map[string]controlhost.Status{}}
	for _, name := range s.plan.processes() {
		used, err := readProcess(s.pids[name])
		if err != nil {
			return taken, trace.Wrap(err, "process %s", name)
		}
		taken.processes[name] = used
	}
	taken.at = time.Now()
	for _, planned := range s.plan.Daemons {
		var totals stream.Totals
		var status controlhost.Status
		if err := get(ctx, planned.Admin+"/traffic", &totals); err != nil {
			return taken, err
		}
		if err := get(ctx, planned.Admin+"/relay", &status); err != nil {
			return taken, err
		}
		taken.traffic[planned.Name] = bytesOf(totals)
		taken.relays[planned.Name] = status
	}
	for _, planned := range s.plan.Proxies {
		var totals stream.Totals
		if err := get(ctx, planned.Admin+"/traffic", &totals); err != nil {
			return taken, err
		}
		taken.traffic[planned.Name] = bytesOf(totals)
	}
	members, err := s.members(ctx)
	taken.members = members
	return taken, err
}

func bytesOf(totals stream.Totals) uint64 {
	return totals.ConnectionBytesSent + totals.ConnectionBytesReceived
}
