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
	// levelPause is the time after a question that brought no new proof, until the next node is
	// asked; after levelQuick of them each further one doubles it, up to levelPauseMost.
	levelPause     = 125 * time.Millisecond
	levelQuick     = 5
	levelPauseMost = 500 * time.Millisecond
	// levelLeast is the shortest time between two looks at what is to be done.
	levelLeast = 25 * time.Millisecond
	// levelTimeout bounds one question.
	levelTimeout = 600 * time.Millisecond
	// agedFor is how long a node is left aside that had no new proof when it was asked.
	agedFor = 600 * time.Millisecond
	// levelBytes bounds one answer.
	levelBytes = 4 << 10
)

// levelCheck keeps the proof new that the node holds the newest configuration: it asks readers,
// whose answer is a version and the age of their own proof, and the store when these have none. It
// is safe for concurrent use.
type levelCheck struct {
	exchanger *Exchanger
	// confirming has requests that wait for the same answer share it.
	confirming singleflight.Group
	// confirmed is when there was last proof for a refusal, a stamp of the node's clock.
	confirmed stamp
	// unanswered has the names of the nodes that were asked and have not answered yet, aged the
	// moments at which nodes answered without new proof.
	unanswered, aged sync.Map
	probe            storeProbe
}

func newLevelCheck(exchanger *Exchanger) *levelCheck { return &levelCheck{exchanger: exchanger} }

// run keeps the proof new until the context ends. A node that does not answer holds nobody up.
func (l *levelCheck) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	pace := &askPace{}
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if left := l.freshFor(); left > 0 {
			pace.reset()
			l.probe.reset()
			l.aged.Clear()
			timer.Reset(max(left, levelPause))
			continue
		}
		if pace.begin(clock.Now()) {
			l.askAny(ctx)
		}
		if l.untilProbe() <= 0 {
			l.probeInTurn(ctx)
		}
		timer.Reset(max(min(pace.wait(clock.Now()), l.untilProbe()), levelLeast))
	}
}

// askPace spaces the questions to other nodes: some in quick succession, then fewer. It is used by
// one goroutine.
type askPace struct {
	due    time.Time
	inVain int
}

// begin reports whether a question is due, and counts it.
func (p *askPace) begin(now time.Time) bool {
	if p.due.After(now) {
		return false
	}
	p.due = now.Add(min(levelPause<<max(p.inVain-levelQuick, 0), levelPauseMost))
	p.inVain = min(p.inVain+1, 2*levelQuick)
	return true
}

// wait returns how long it is until the next question.
func (p *askPace) wait(now time.Time) time.Duration { return max(p.due.Sub(now), 0) }

// reset begins anew: there is new proof.
func (p *askPace) reset() { *p = askPace{} }

// untilProbe returns how long it is until the store may be read for want of proof. A node that has
// never had any gives others the same time to bring it.
func (l *levelCheck) untilProbe() time.Duration {
	held := l.exchanger.options.Configuration
	age, proven := held.ProofAge()
	if !proven {
		age = held.Age()
	}
	if left := l.exchanger.limits.probe - age; left > 0 {
		return left
	}
	return l.probe.wait(clock.Now())
}

// freshFor returns how long nobody needs to be asked.
func (l *levelCheck) freshFor() time.Duration {
	e := l.exchanger
	if e.options.Configuration.Version() == 0 {
		return e.limits.ask
	}
	age, proven := e.options.Configuration.ProofAge()
	if !proven {
		return 0
	}
	return e.limits.ask - age
}

// askAny asks another node.
func (l *levelCheck) askAny(ctx context.Context) {
	if reader := l.pick(); reader != nil {
		// What fails shows in the age of the proof; another node is asked soon.
		go func() { _ = l.ask(ctx, reader, l.exchanger.catchUpDelay(reader)) }()
	}
}

// pick returns a node to ask, nil when there is none: a reader of the own zone, one of another, or
// any node, in this order. Those that had no new proof of late are left aside while there are
// others.
func (l *levelCheck) pick() *roster.Record {
	e := l.exchanger
	view := e.options.Roster.View()
	near, _ := readers.Zone(view, e.options.Roster.Own().Zone, e.Reachable)
	all := readers.All(view, e.Reachable)
	for _, candidates := range [][]*roster.Record{near, all, view.Records()} {
		if found := l.withoutAged(l.askable(candidates)); len(found) > 0 {
			return found[rand.N(len(found))]
		}
	}
	if all = l.askable(all); len(all) > 0 {
		return all[rand.N(len(all))]
	}
	return nil
}

// askable returns those of the nodes that are others and owe no answer.
func (l *levelCheck) askable(nodes []*roster.Record) []*roster.Record {
	return slices.DeleteFunc(l.exchanger.peersOf(nodes), func(record *roster.Record) bool {
		_, waits := l.unanswered.Load(record.Node)
		return waits
	})
}

// withoutAged returns those of the nodes that have not answered without new proof of late.
func (l *levelCheck) withoutAged(nodes []*roster.Record) []*roster.Record {
	return slices.DeleteFunc(nodes, func(record *roster.Record) bool {
		since, aged := l.aged.Load(record.Node)
		return aged && clock.Since(since.(time.Time)) < agedFor
	})
}

// ask asks one reader and takes in its answer. What is newer is fetched after the delay.
func (l *levelCheck) ask(ctx context.Context, reader *roster.Record, delay time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, levelTimeout)
	defer cancel()
	l.unanswered.Store(reader.Node, nil)
	defer l.unanswered.Delete(reader.Node)
	asked := clock.Now()
	answer, err := l.levelOf(ctx, reader)
	if err != nil {
		l.aged.Store(reader.Node, clock.Now())
		l.exchanger.observer.VersionRequestFinished(levelFailed, -1)
		return trace.Wrap(err, "ask %s for its version", reader.Node)
	}
	l.exchanger.met.Store(true)
	l.told(reader, answer)
	l.prove(answer.Version, answer.ProofAge, asked)
	if answer.Version > l.exchanger.options.Configuration.Version() {
		l.exchanger.behind.hear(reader, answer.Version, delay)
	}
	return nil
}

// levelOf returns what a node answers.
func (l *levelCheck) levelOf(ctx context.Context, reader *roster.Record) (*VersionReply, error) {
	resp, err := l.exchanger.get(ctx, reader, pathLevel)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer := &VersionReply{}
	return answer, json.NewDecoder(io.LimitReader(resp.Body, levelBytes)).Decode(answer)
}

// told notes what a reader has answered, and whether it had new proof.
func (l *levelCheck) told(reader *roster.Record, answer *VersionReply) {
	inForce, result := l.exchanger.options.Configuration.Version(), levelSame
	if answer.Version > inForce {
		result = levelNewer
	}
	age, proven := proofAge(answer.ProofAge)
	if !proven {
		age = -1
	}
	if proven && age < l.exchanger.limits.ask {
		l.aged.Delete(reader.Node)
	} else {
		l.aged.Store(reader.Node, clock.Now())
	}
	l.exchanger.observer.VersionRequestFinished(result, age)
	l.exchanger.options.Logger.Debug("version told", zap.String("peer", reader.Node), zap.Uint64("version", answer.Version),
		zap.Uint64("inForce", inForce), zap.Duration("peerProofAge", age), l.exchanger.behind.proofAge())
}

// prove takes in how old a peer's proof for its version was when it answered a question that
// was sent at the moment. The time on the way counts against the proof.
func (l *levelCheck) prove(version uint64, told *int64, asked time.Time) {
	if age, valid := proofAge(told); valid {
		l.exchanger.options.Configuration.RecordProof(version, asked.Add(-age))
	}
}

// proofAge returns the age of the node's own proof in whole microseconds, nil without one.
func (l *levelCheck) proofAge() *int64 {
	age, proven := l.exchanger.options.Configuration.ProofAge()
	if !proven {
		return nil
	}
	microseconds := age.Microseconds()
	return &microseconds
}

// FreshProof returns the age of the node's proof that it is level while that is worth telling:
// others would not ask for another one.
func (e *Exchanger) FreshProof() (age time.Duration, proven bool) {
	age, proven = e.options.Configuration.ProofAge()
	return age, proven && age < e.limits.ask
}

// CatchUp has the node catch up with a version that a peer holds, at once, and reports whether
// it did within a short time.
func (e *Exchanger) CatchUp(ctx context.Context, peer *roster.Record, version uint64) bool {
	if version <= e.options.Configuration.Version() {
		return true
	}
	if peer == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	e.behind.hear(peer, version, 0)
	return e.behind.await(ctx)
}
