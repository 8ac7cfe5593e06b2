package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/kestrelstream/kestrelstream/internal/hollow"
	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
)

// StormReport says how the proxies fared when many daemons died at once.
type StormReport struct {
	Killed int `json:"daemons_killed"`
	// Orphans are the proxies that lost their parent.
	Orphans int `json:"proxies_cut_off"`
	// AttachedSeconds is the time until all of them were attached again.
	AttachedSeconds float64 `json:"attached_seconds"`
	// InForceSeconds is the time from the kill until a change made just after
	// it was in force everywhere.
	InForceSeconds float64 `json:"in_force_seconds"`
}

// storm kills every second relay at once, the store readers excepted, and
// waits until their children are attached elsewhere and enforce a change made
// right after.
func (w *world) storm(ctx context.Context, random *rand.Rand) (StormReport, error) {
	return w.killDaemons(ctx, random, everySecond(w.relays(), w.readers()))
}

// loseReaders kills every store reader at once. Until a lease lapses no other
// daemon can take its slot, so that nothing new spreads.
func (w *world) loseReaders(ctx context.Context, random *rand.Rand) (StormReport, error) {
	readers := w.readers()
	var holders []*mesh.ControlNode
	for _, control := range w.mesh.Control {
		if readers[control.Name()] {
			holders = append(holders, control)
		}
	}
	return w.killDaemons(ctx, random, holders)
}

// everySecond returns half of the relays, the excepted ones left out, rounded up.
func everySecond(relays []*mesh.ControlNode, except map[string]bool) []*mesh.ControlNode {
	var eligible, chosen []*mesh.ControlNode
	for _, relay := range relays {
		if !except[relay.Name()] {
			eligible = append(eligible, relay)
		}
	}
	for index := 0; index < len(eligible); index += 2 {
		chosen = append(chosen, eligible[index])
	}
	return chosen
}

// killDaemons kills daemons at once, waits until no proxy is left without a
// parent and a change made right after is in force everywhere, and starts the
// daemons again.
func (w *world) killDaemons(ctx context.Context, random *rand.Rand, killed []*mesh.ControlNode) (StormReport, error) {
	dead := map[string]bool{}
	for _, control := range killed {
		dead[control.Name()] = true
	}
	orphans := w.attachedTo(dead)
	began := time.Now()
	if err := killAll(killed); err != nil {
		return StormReport{}, err
	}
	made, err := w.apply(ctx, random)
	if err != nil {
		return StormReport{}, err
	}
	report := StormReport{Killed: len(killed), Orphans: len(orphans)}
	if err := wait(ctx, func() string { return unattached(orphans, dead) }); err != nil {
		return report, err
	}
	report.AttachedSeconds = time.Since(began).Seconds()
	if err := w.waitInForce(ctx, made.version); err != nil {
		return report, err
	}
	report.InForceSeconds = w.lastInForce(made.version, w.fleet.Members()).Sub(began).Seconds()
	return report, startAll(killed)
}

func killAll(nodes []*mesh.ControlNode) error {
	var group errgroup.Group
	for _, node := range nodes {
		group.Go(node.Kill)
	}
	return group.Wait()
}

func startAll(nodes []*mesh.ControlNode) error {
	for _, node := range nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) attachedTo(parents map[string]bool) []*hollow.Member {
	var attached []*hollow.Member
	for _, member := range w.fleet.Members() {
		if proxy := member.Proxy(); proxy != nil && parents[proxy.Status().Parent] {
			attached = append(attached, member)
		}
	}
	return attached
}

// unattached names a proxy that has no parent but a dead one.
func unattached(among []*hollow.Member, dead map[string]bool) string {
	for _, member := range among {
		if proxy := member.Proxy(); proxy != nil {
			status := proxy.Status()
			if !status.Attached || dead[status.Parent] {
				return fmt.Sprintf("a new parent of %s", member.Options().Node.Name)
			}
		}
	}
	return ""
}

// lastInForce returns when the last of the proxies enforced a version.
func (w *world) lastInForce(version uint64, among []*hollow.Member) time.Time {
	var last time.Time
	for _, member := range among {
		if proxy := member.Proxy(); proxy != nil {
			if at, inForce := proxy.InForceAt(version); inForce && at.After(last) {
				last = at
			}
		}
	}
	return last
}

// HerdReport says how the restart of every process of a zone went.
type HerdReport struct {
	Zone    string `json:"zone"`
	Proxies int    `json:"proxies"`
	Daemons int    `json:"daemons"`
	// InForceSeconds is the time from the restart until every proxy of the
	// zone enforced the newest version again.
	InForceSeconds float64 `json:"in_force_seconds"`
	// OthersMoved counts proxies of other zones that lost their stream.
	OthersMoved int `json:"other_zones_proxies_moved"`
	// OthersConvergenceSeconds is how long a change made during the restart
	// took in the other zones.
	OthersConvergenceSeconds float64 `json:"other_zones_convergence_seconds"`
}

// herd kills every process of a zone and starts all of them again at once.
func (w *world) herd(ctx context.Context, zone string, random *rand.Rand) (HerdReport, error) {
	proxies := w.fleet.OfZone(zone)
	others := w.fleet.Where(func(options hollow.Options) bool { return options.Node.Zone != zone })
	var daemons []*mesh.ControlNode
	for _, control := range w.mesh.Control {
		if control.Zone() == zone {
			daemons = append(daemons, control)
		}
	}
	report := HerdReport{Zone: zone, Proxies: len(proxies), Daemons: len(daemons)}
	parentsBefore := parentsOf(others)
	newest := w.newestVersion()
	if err := w.killZone(daemons, proxies); err != nil {
		return report, err
	}
	began := time.Now()
	if err := startAll(daemons); err != nil {
		return report, err
	}
	for _, member := range proxies {
		member.Start(ctx)
	}
	made, err := w.apply(ctx, random)
	if err != nil {
		return report, err
	}
	if err := w.waitInForce(ctx, made.version); err != nil {
		return report, err
	}
	report.InForceSeconds = w.lastInForce(newest, proxies).Sub(began).Seconds()
	report.OthersConvergenceSeconds = max(0, w.lastInForce(made.version, others).Sub(made.acceptedAt).Seconds())
	report.OthersMoved = moved(parentsBefore, parentsOf(others))
	return report, nil
}

func (w *world) killZone(daemons []*mesh.ControlNode, proxies []*hollow.Member) error {
	var group errgroup.Group
	for _, member := range proxies {
		group.Go(func() error { member.Kill(); return nil })
	}
	group.Go(func() error { return killAll(daemons) })
	return group.Wait()
}

// attachment is a stream as far as it can be told from another one.
type attachment struct{ proxy, parent string }

func parentsOf(among []*hollow.Member) map[attachment]bool {
	attached := map[attachment]bool{}
	for _, member := range among {
		if proxy := member.Proxy(); proxy != nil {
			attached[attachment{member.Options().Node.Name, proxy.Status().Parent}] = true
		}
	}
	return attached
}

func moved(before, after map[attachment]bool) int {
	count := 0
	for each := range before {
		if !after[each] {
			count++
		}
	}
	return count
}

// newestVersion returns the highest version in force at any hollow proxy.
func (w *world) newestVersion() uint64 {
	var newest uint64
	for _, member := range w.fleet.Members() {
		if proxy := member.Proxy(); proxy != nil {
			newest = max(newest, proxy.Version())
		}
	}
	return newest
}
