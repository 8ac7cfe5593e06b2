package scale

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/hollow"
)

// ServeCommand holds the flags of `kestrel-lab scale hollow`.
type ServeCommand struct {
	Part      int           `required:"" help:"Which of the plan's processes this is."`
	Stagger   time.Duration `default:"40ms" help:"Time between the starts of two hollow proxies."`
	Directory string        `arg:"" help:"Directory of the plan."`
}

// pathMembers is where a process of hollow proxies tells of them.
const pathMembers = "/members"

// HollowStatus is what a process tells of one hollow proxy.
type HollowStatus struct {
	Name     string        `json:"name"`
	Zone     string        `json:"zone"`
	Version  uint64        `json:"version"`
	Parent   string        `json:"parent"`
	Attached bool          `json:"attached"`
	Totals   stream.Totals `json:"totals"`
	// Applied holds the times of the versions asked for.
	Applied []hollow.Applied `json:"applied,omitempty"`
}

// Run runs the hollow proxies of one part until the context ends.
func (c *ServeCommand) Run(ctx context.Context, logger *zap.Logger) error {
	plan, err := readPlan(c.Directory)
	if err != nil {
		return err
	}
	if c.Part < 0 || c.Part >= len(plan.Hollow) {
		return trace.BadParameter("--part: %d is none of the plan's %d parts", c.Part, len(plan.Hollow))
	}
	listener, err := net.Listen("tcp", plan.Hollow[c.Part].Address)
	if err != nil {
		return trace.Wrap(err, "listen on %s", plan.Hollow[c.Part].Address)
	}
	fleet := hollow.NewFleet(plan.part(c.Part))
	defer fleet.Kill()
	go startOneByOne(ctx, fleet, c.Stagger)
	logger.Info("hollow proxies serving", zap.Int("proxies", len(fleet.Members())), zap.Stringer("address", listener.Addr()))
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathMembers, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		// A failed write means that the asker has gone.
		_ = json.NewEncoder(writer).Encode(statuses(fleet))
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return trace.Wrap(err, "serve on %s", listener.Addr())
	}
	return nil
}

// startOneByOne starts the proxies until ctx ends.
func startOneByOne(ctx context.Context, fleet *hollow.Fleet, stagger time.Duration) {
	for _, member := range fleet.Members() {
		if sleep(ctx, stagger) != nil {
			return
		}
		member.Start(ctx)
	}
}

// part returns the hollow proxies of one process.
func (p *Plan) part(part int) []hollow.Options {
	var own []hollow.Options
	for index, options := range p.Topology.hollowOptions(p.members(), zap.NewNop()) {
		if index%len(p.Hollow) == part {
			own = append(own, options)
		}
	}
	return own
}

func statuses(fleet *hollow.Fleet) []HollowStatus {
	list := make([]HollowStatus, 0, len(fleet.Members()))
	for _, member := range fleet.Members() {
		proxy := member.Proxy()
		if proxy == nil {
			continue
		}
		attached := proxy.Status()
		list = append(list, HollowStatus{
			Name: member.Options().Node.Name, Zone: member.Options().Node.Zone, Version: proxy.Version(),
			Parent: attached.Parent, Attached: attached.Attached, Totals: member.Traffic().Totals(), Applied: proxy.History(),
		})
	}
	return list
}
