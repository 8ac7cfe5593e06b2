package exchange

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// minCheckPause is the pause after a check that brought no new proof, until the next node is
	// asked; after quickChecks of them each further one doubles it, up to maxCheckPause.
	minCheckPause = 125 * time.Millisecond
	quickChecks   = 5
	maxCheckPause = 500 * time.Millisecond
	// minPollInterval is the shortest interval between two checks for work that is due.
	minPollInterval = 25 * time.Millisecond
	// checkTimeout bounds one request for a peer's version.
	checkTimeout = 600 * time.Millisecond
	// staleFor is the time for which a node that had no new proof when it was asked is avoided.
	staleFor = 600 * time.Millisecond
	// maxReplyBytes bounds one reply.
	maxReplyBytes = 4 << 10
)

// proofChecker keeps the proof that the node holds the newest configuration fresh: it asks readers
// for their version and the age of their own proof, and reads the store when these have none. It
// is safe for concurrent use.
type proofChecker struct {
	exchanger *Exchanger
	// confirming lets concurrent requests share one confirmation.
	confirming singleflight.Group
	// confirmed is the time at which proof for a refusal was last obtained.
	confirmed atomicTime
	// pending holds the names of the nodes that were asked and have not replied yet, stale the
	// moments at which nodes replied without new proof or failed to reply.
	pending, stale sync.Map
	storeReads     storeReadPacer
	random         *rand.Rand
}

func newProofChecker(exchanger *Exchanger) *proofChecker {
	return &proofChecker{exchanger: exchanger, random: newRandom(exchanger.options.Seed, proofStream)}
}

// run keeps the proof fresh until the context ends. A node that does not reply does not delay the
// others.
func (c *proofChecker) run(ctx context.Context) {
	timer := clock.NewTimer(0)
	defer timer.Stop()
	pacer := &checkPacer{}
	checked := clock.Now()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		left := c.untilRefresh()
		if left > 0 || c.wasFreshSince(checked) {
			pacer.reset()
			c.storeReads.reset()
		}
		checked = clock.Now()
		if left > 0 {
			c.stale.Clear()
			timer.Reset(max(left, minCheckPause))
			continue
		}
		if pacer.allow(clock.Now()) {
			c.askPeer(ctx)
		}
		if c.untilStoreRead() <= 0 {
			c.readStoreInTurn(ctx)
		}
		timer.Reset(max(min(pacer.wait(clock.Now()), c.untilStoreRead()), minPollInterval))
	}
}

// checkPacer spaces the requests to other nodes: some in quick succession, then fewer. It is used by
// one goroutine.
type checkPacer struct {
	due      time.Time
	failures int
}

// allow reports whether a request is due, and counts it.
func (p *checkPacer) allow(now time.Time) bool {
	if p.due.After(now) {
		return false
	}
	p.due = now.Add(min(minCheckPause<<max(p.failures-quickChecks, 0), maxCheckPause))
	p.failures = min(p.failures+1, 2*quickChecks)
	return true
}

// wait returns the time until the next request is due.
func (p *checkPacer) wait(now time.Time) time.Duration { return max(p.due.Sub(now), 0) }

// reset restores the shortest pause after new proof.
func (p *checkPacer) reset() { *p = checkPacer{} }

// untilStoreRead returns the time until the store may be read for lack of proof. A node that has never
// had proof counts the age of its configuration instead, so that others get the same time to provide it.
func (c *proofChecker) untilStoreRead() time.Duration {
	held := c.exchanger.options.Configuration
	age, proven := held.ProofAge()
	if !proven {
		age = held.Age()
	}
	if left := c.exchanger.limits.storeReads - age; left > 0 {
		return left
	}
	return c.storeReads.wait(clock.Now())
}

// wasFreshSince reports whether the node had fresh proof at some moment since the given one. Proof from
// others may be too old again at the next check, and is new proof all the same.
func (c *proofChecker) wasFreshSince(moment time.Time) bool {
	age, proven := c.exchanger.options.Configuration.ProofAge()
	return proven && age < c.exchanger.limits.refresh+clock.Since(moment)
}

// untilRefresh returns the time until the proof needs to be refreshed.
func (c *proofChecker) untilRefresh() time.Duration {
	e := c.exchanger
	if e.options.Configuration.Version() == 0 {
		return e.limits.refresh
	}
	age, proven := e.options.Configuration.ProofAge()
	if !proven {
		return 0
	}
	return e.limits.refresh - age
}

// askPeer asks another node in the background.
func (c *proofChecker) askPeer(ctx context.Context) {
	if reader := c.pick(); reader != nil {
		// A failure shows in the age of the proof; another node is asked soon.
		go func() { _ = c.ask(ctx, reader, c.exchanger.catchUpDelay(reader)) }()
	}
}

// pick returns a node to ask, nil when there is none: a reader of the own zone, a reader of another
// zone, or any node, in this order of preference. Nodes that recently had no new proof are avoided
// while there are others.
func (c *proofChecker) pick() *roster.Record {
	e := c.exchanger
	view := e.options.Roster.View()
	near, _ := readers.Zone(view, e.options.Roster.Own().Zone, e.Reachable)
	all := readers.All(view, e.Reachable)
	for _, candidates := range [][]*roster.Record{near, all, view.Records()} {
		if found := c.withoutStale(c.askable(candidates)); len(found) > 0 {
			return found[c.random.IntN(len(found))]
		}
	}
	if all = c.askable(all); len(all) > 0 {
		return all[c.random.IntN(len(all))]
	}
	return nil
}

// askable returns the other nodes among the given ones that have no pending request.
func (c *proofChecker) askable(nodes []*roster.Record) []*roster.Record {
	return slices.DeleteFunc(c.exchanger.peersOf(nodes), func(record *roster.Record) bool {
		_, waiting := c.pending.Load(record.Node)
		return waiting
	})
}

// withoutStale returns the nodes that did not recently fail to provide new proof.
func (c *proofChecker) withoutStale(nodes []*roster.Record) []*roster.Record {
	return slices.DeleteFunc(nodes, func(record *roster.Record) bool {
		since, stale := c.stale.Load(record.Node)
		return stale && clock.Since(since.(time.Time)) < staleFor
	})
}

// ask requests a node's version and processes the reply. A newer version is fetched after the delay.
func (c *proofChecker) ask(ctx context.Context, reader *roster.Record, delay time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	c.pending.Store(reader.Node, nil)
	defer c.pending.Delete(reader.Node)
	asked := clock.Now()
	answer, err := c.requestVersion(ctx, reader)
	if err != nil {
		c.stale.Store(reader.Node, clock.Now())
		c.exchanger.observer.VersionRequestFinished(versionFailed, -1)
		return trace.Wrap(err, "request version of %s", reader.Node)
	}
	c.exchanger.firstContact.setOnce(clock.Now())
	c.recordReply(reader, answer)
	c.recordProof(answer.Version, answer.ProofAge, asked)
	if answer.Version > c.exchanger.options.Configuration.Version() {
		c.exchanger.updater.reportVersion(reader, answer.Version, delay)
	}
	return nil
}

// requestVersion returns a node's reply.
func (c *proofChecker) requestVersion(ctx context.Context, reader *roster.Record) (*VersionReply, error) {
	resp, err := c.exchanger.get(ctx, reader, pathVersion)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer := &VersionReply{}
	return answer, json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(answer)
}

// recordReply records a node's reply, and whether it carried new proof.
func (c *proofChecker) recordReply(reader *roster.Record, answer *VersionReply) {
	inForce, result := c.exchanger.options.Configuration.Version(), versionSame
	if answer.Version > inForce {
		result = versionNewer
	}
	age, proven := proofAge(answer.ProofAge)
	if !proven {
		age = -1
	}
	if proven && age < c.exchanger.limits.refresh {
		c.stale.Delete(reader.Node)
	} else {
		c.stale.Store(reader.Node, clock.Now())
	}
	c.exchanger.observer.VersionRequestFinished(result, age)
	c.exchanger.options.Logger.Debug("peer version received", zap.String("peer", reader.Node), zap.Uint64("version", answer.Version),
		zap.Uint64("inForce", inForce), zap.Duration("peerProofAge", age), c.exchanger.updater.proofAge())
}

// recordProof records the proof in a peer's reply to a request that was sent at the given moment. The
// age counts from then, so that the time in transit counts against the proof.
func (c *proofChecker) recordProof(version uint64, peerAge *int64, asked time.Time) {
	if age, valid := proofAge(peerAge); valid {
		c.exchanger.options.Configuration.RecordProof(version, asked.Add(-age))
	}
}

// proofAge returns the age of the node's own proof in whole microseconds, nil without one.
func (c *proofChecker) proofAge() *int64 {
	age, proven := c.exchanger.options.Configuration.ProofAge()
	if !proven {
		return nil
	}
	microseconds := age.Microseconds()
	return &microseconds
}

// FreshProof returns the age of the node's proof that it is up to date, and whether the proof is
// fresh enough to be passed on: other nodes would not need to refresh it.
func (e *Exchanger) FreshProof() (age time.Duration, proven bool) {
	age, proven = e.options.Configuration.ProofAge()
	return age, proven && age < e.limits.refresh
}

// CatchUp fetches a version that a peer holds at once, and reports whether the node is up to date
// within confirmTimeout.
func (e *Exchanger) CatchUp(ctx context.Context, peer *roster.Record, version uint64) bool {
	if version <= e.options.Configuration.Version() {
		return true
	}
	if peer == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	e.updater.reportVersion(peer, version, 0)
	return e.updater.await(ctx)
}
