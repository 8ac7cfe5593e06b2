package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"sigs.k8s.io/yaml"

	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
	"github.com/kestrelstream/kestrelstream/internal/membership"
	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/standin/backend"
)

// Plan says which processes a run split over processes has. A script starts
// them: no process starts another.
type Plan struct {
	Topology topology         `json:"topology"`
	Store    string           `json:"store"`
	Daemons  []PlannedDaemon  `json:"daemons"`
	Proxies  []PlannedProxy   `json:"proxies"`
	Backends []PlannedBackend `json:"backends"`
	Hollow   []PlannedHollow  `json:"hollow"`
}

// PlannedDaemon is one kestreld.
type PlannedDaemon struct {
	settings.Seed
	API   string `json:"api"`
	Admin string `json:"admin"`
}

// PlannedProxy is one kestrel-proxy.
type PlannedProxy struct {
	Name  string `json:"name"`
	Admin string `json:"admin"`
}

// PlannedBackend is one stand-in back end.
type PlannedBackend struct {
	mesh.Upstream
	Address string `json:"address"`
}

// PlannedHollow is one process of hollow proxies: those whose index leaves
// Part when divided by the number of such processes.
type PlannedHollow struct {
	Name    string `json:"name"`
	Part    int    `json:"part"`
	Address string `json:"address"`
}

// The plan's files in its directory.
const (
	planFile = "plan.json"
	// commandsFile lists the processes for the script that starts them.
	commandsFile = "commands"
)

// PlanCommand holds the flags of `kestrel-lab scale plan`.
type PlanCommand struct {
	Topology  topology `embed:""`
	Processes int      `default:"8" help:"Processes that share the hollow proxies."`
	FirstPort int      `default:"21000" help:"First of the loopback ports that are used, one after the other."`
	Directory string   `arg:"" help:"Directory that takes the plan and the settings files."`
}

// Run writes the plan and a settings file for each real process.
func (c *PlanCommand) Run() error {
	if err := c.Topology.check(); err != nil {
		return err
	}
	if c.Processes < 1 || c.FirstPort < 1024 || c.FirstPort > 60000 {
		return trace.BadParameter("--processes must be at least 1 and --first-port between 1024 and 60000")
	}
	ports := &portSequence{next: c.FirstPort}
	plan := &Plan{Topology: c.Topology, Store: ports.address()}
	if err := c.planDaemons(plan, ports); err != nil {
		return err
	}
	if err := c.planProxies(plan, ports); err != nil {
		return err
	}
	for part := range c.Processes {
		plan.Hollow = append(plan.Hollow, PlannedHollow{Name: fmt.Sprintf("hollow-part-%d", part), Part: part, Address: ports.address()})
	}
	if err := c.write(commandsFile, []byte(strings.Join(c.commandLines(plan), "\n")+"\n")); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(plan, "", "  ")
	if err != nil {
		return trace.Wrap(err, "encode plan")
	}
	return c.write(planFile, encoded)
}

// commandLines lists the processes in the order of their start, one a line:
// name, program, arguments.
func (c *PlanCommand) commandLines(plan *Plan) []string {
	lines := []string{fmt.Sprintf("store kestrel-lab store --listen %s", plan.Store)}
	withSettings := func(program, name string) {
		lines = append(lines, fmt.Sprintf("%s %s --settings %s", name, program, c.settingsFile(name)))
	}
	for _, planned := range plan.Daemons {
		withSettings("kestreld", planned.Name)
	}
	for _, planned := range plan.Backends {
		lines = append(lines, fmt.Sprintf("%s-backend kestrel-lab backend --name %s --service %s --zone %s --listen %s",
			planned.Name, planned.Name, planned.Service, planned.Zone, planned.Address))
	}
	for _, planned := range plan.Proxies {
		withSettings("kestrel-proxy", planned.Name)
	}
	for _, planned := range plan.Hollow {
		lines = append(lines, fmt.Sprintf("%s kestrel-lab scale hollow --part %d %s", planned.Name, planned.Part, c.Directory))
	}
	return lines
}

func (c *PlanCommand) settingsFile(name string) string {
	return filepath.Join(c.Directory, name+".yaml")
}

func (c *PlanCommand) write(name string, content []byte) error {
	return trace.Wrap(os.WriteFile(filepath.Join(c.Directory, name), content, 0o600), "write %s", name)
}

type portSequence struct{ next int }

func (p *portSequence) address() string {
	p.next++
	return fmt.Sprintf("127.0.0.1:%d", p.next-1)
}

func (c *PlanCommand) planDaemons(plan *Plan, ports *portSequence) error {
	for zone := range c.Topology.Zones {
		for index := range c.Topology.DaemonsPerZone {
			name := c.Topology.zone(zone)
			plan.Daemons = append(plan.Daemons, PlannedDaemon{
				Seed: settings.Seed{
					Name: fmt.Sprintf("control-%s-%d", name, index+1), Zone: name,
					Region: c.Topology.regionOf(name), Address: ports.address(),
				},
				API: ports.address(), Admin: ports.address(),
			})
		}
	}
	for _, planned := range plan.Daemons {
		loaded := settings.DefaultDaemon()
		loaded.Node = settings.Node{Name: planned.Name, Zone: planned.Zone, Region: planned.Region}
		loaded.Listen = settings.DaemonListen{API: planned.API, Stream: planned.Address, Admin: planned.Admin}
		loaded.Store.Address = plan.Store
		loaded.Distribution.RelaysPerZone = c.Topology.RelaysPerZone
		loaded.Seeds = plan.seeds()
		loaded.Identity.PlainHTTP = true
		if err := c.writeSettings(planned.Name, loaded); err != nil {
			return err
		}
	}
	return nil
}

func (c *PlanCommand) planProxies(plan *Plan, ports *portSequence) error {
	for _, upstream := range c.Topology.deployment().Upstreams {
		behind := PlannedBackend{Upstream: upstream, Address: ports.address()}
		loaded := settings.DefaultProxy()
		loaded.Node = settings.ProxyNode{
			Node:     settings.Node{Name: upstream.Name, Zone: upstream.Zone, Region: c.Topology.regionOf(upstream.Zone)},
			Services: []string{upstream.Service},
		}
		loaded.Listen = settings.ProxyListen{Outbound: ports.address(), Inbound: ports.address(), Admin: ports.address()}
		loaded.Backend = &settings.Backend{
			Service: upstream.Service, Endpoint: upstream.Name, Address: behind.Address, HealthPath: backend.PathHealth,
			Labels: map[string]string{"service": upstream.Service},
		}
		loaded.Seeds = plan.seeds()
		loaded.Stream.RelaysPerZone = c.Topology.RelaysPerZone
		loaded.Identity.PlainHTTP = true
		if err := c.writeSettings(upstream.Name, loaded); err != nil {
			return err
		}
		plan.Backends = append(plan.Backends, behind)
		plan.Proxies = append(plan.Proxies, PlannedProxy{Name: upstream.Name, Admin: loaded.Listen.Admin})
	}
	return nil
}

func (c *PlanCommand) writeSettings(name string, loaded any) error {
	encoded, err := yaml.Marshal(loaded)
	if err != nil {
		return trace.Wrap(err, "encode settings of %s", name)
	}
	return c.write(filepath.Base(c.settingsFile(name)), encoded)
}

func (p *Plan) seeds() []settings.Seed {
	seeds := make([]settings.Seed, len(p.Daemons))
	for index, planned := range p.Daemons {
		seeds[index] = planned.Seed
	}
	return seeds
}

func (p *Plan) members() []membership.Member {
	list := make([]membership.Member, len(p.Daemons))
	for index, planned := range p.Daemons {
		list[index] = membership.Member{Name: planned.Name, Zone: planned.Zone, Region: planned.Region, Address: planned.Address}
	}
	return list
}

// processes lists the names of all processes but the back ends.
func (p *Plan) processes() []string {
	names := []string{"store"}
	for _, planned := range p.Daemons {
		names = append(names, planned.Name)
	}
	for _, planned := range p.Proxies {
		names = append(names, planned.Name)
	}
	for _, planned := range p.Hollow {
		names = append(names, planned.Name)
	}
	return slices.Clip(names)
}

func readPlan(directory string) (*Plan, error) {
	content, err := os.ReadFile(filepath.Join(directory, planFile))
	if err != nil {
		return nil, trace.Wrap(err, "read plan")
	}
	plan := &Plan{}
	return plan, trace.Wrap(json.Unmarshal(content, plan), "decode plan")
}
