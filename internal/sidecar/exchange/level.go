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
	// levelInterval is how long after a reader's word a node asks again whether it is level.
	// A node that nobody tells of a version so learns of it within about half of the 2.5 s in
	// which it has to be in force.
	levelInterval = time.Second
	// levelLook is the time between two looks, and so after what time without an answer
	// another reader is asked.
	levelLook = 250 * time.Millisecond
	// levelTimeout bounds one question.
	levelTimeout = 600 * time.Millisecond
	// levelStale is from what age of the proof on readers of other zones are asked as well:
	// those of the own one may not hear the store.
	levelStale = 2 * time.Second
	// confirmHedge is after what time without an answer a second reader is asked before a
	// request is refused, confirmTimeout for how long it may wait for that.
	confirmHedge   = 60 * time.Millisecond
	confirmTimeout = 350 * time.Millisecond
	// confirmedFor is how long an answer serves other requests: a flood of requests for routes
	// that are not there asks ten times a second, no more.
	confirmedFor = 100 * time.Millisecond
	// levelBytes bounds one answer.
	levelBytes = 4 << 10
)

// levelCheck asks readers whether there is a newer configuration than the one in force. The
// answer is a version, not a document. It is safe for concurrent use.
type levelCheck struct {
	exchanger *Exchanger
	// confirming has requests that wait for the same answer share it.
	confirming singleflight.Group
	// confirmed is when a reader last said that the node is level, a stamp of the node's clock.
	confirmed stamp
	// unanswered has the names of the nodes that were asked and have not answered yet.
	unanswered sync.Map
}

func newLevelCheck(exchanger *Exchanger) *levelCheck { return &levelCheck{exchanger: exchanger} }

// run asks a reader from time to time until the context ends. A reader that does not answer
// holds nobody up: another is asked at the next look.
func (l *levelCheck) run(ctx context.Context) {
	ticker := time.NewTicker(levelLook)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if l.exchanger.options.Configuration.Version() == 0 || l.confirmed.within(levelInterval) {
			continue
		}
		if reader := l.pick(); reader != nil {
			// What fails shows in the age of the proof; another reader is asked soon.
			go func() { _ = l.ask(ctx, reader, l.exchanger.catchUpDelay(reader)) }()
		}
	}
}

// pick returns a reader to ask, nil when there is none: one of the own zone, while these have
// fresh proof themselves.
func (l *levelCheck) pick() *roster.Record {
	e := l.exchanger
	own, view := e.options.Roster.Own(), e.options.Roster.View()
	near, _ := readers.Zone(view, own.Zone, e.Usable)
	near = l.askable(near)
	age, proven := e.options.Configuration.ProofAge()
	if len(near) > 0 && proven && age < levelStale {
		return near[rand.N(len(near))]
	}
	all := l.askable(readers.All(view, e.Usable))
	if len(all) == 0 {
		return nil
	}
	return all[rand.N(len(all))]
}

// alone reports whether no other node is known that reads the store. One that owes an answer
// is one.
func (l *levelCheck) alone() bool {
	e := l.exchanger
	return len(e.peersOf(readers.All(e.options.Roster.View(), e.Usable))) == 0
}

// askable returns those of the nodes that are others and owe no answer.
func (l *levelCheck) askable(reading []*roster.Record) []*roster.Record {
	return slices.DeleteFunc(l.exchanger.peersOf(reading), func(record *roster.Record) bool {
		_, waits := l.unanswered.Load(record.Node)
		return waits
	})
}

// ask asks one reader and takes in its answer. What is newer is fetched after the delay.
func (l *levelCheck) ask(ctx context.Context, reader *roster.Record, delay time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, levelTimeout)
	defer cancel()
	l.unanswered.Store(reader.Node, nil)
	defer l.unanswered.Delete(reader.Node)
	asked := clock.Now()
	resp, err := l.exchanger.get(ctx, reader, pathLevel)
	if err != nil {
		l.exchanger.observer.LevelTold(levelFailed, -1)
		return trace.Wrap(err, "ask %s for its version", reader.Node)
	}
	defer resp.Body.Close()
	answer := &Level{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, levelBytes)).Decode(answer); err != nil {
		return trace.Wrap(err, "ask %s for its version", reader.Node)
	}
	l.exchanger.met.Store(true)
	l.told(reader, answer)
	if answer.Version <= l.exchanger.options.Configuration.Version() {
		l.confirmed.set(clock.Now())
	}
	l.prove(answer.Version, answer.ProofAge, asked)
	if answer.Version > l.exchanger.options.Configuration.Version() {
		l.exchanger.behind.hear(reader, answer.Version, delay)
	}
	return nil
}

// told notes what a reader has answered.
func (l *levelCheck) told(reader *roster.Record, answer *Level) {
	inForce, result, age := l.exchanger.options.Configuration.Version(), levelSame, time.Duration(-1)
	if answer.Version > inForce {
		result = levelNewer
	}
	if answer.ProofAge != nil {
		age = time.Duration(*answer.ProofAge) * time.Microsecond
	}
	l.exchanger.observer.LevelTold(result, age)
	l.exchanger.options.Logger.Debug("version told", zap.String("peer", reader.Node), zap.Uint64("version", answer.Version),
		zap.Uint64("inForce", inForce), zap.Duration("peerProofAge", age), l.exchanger.behind.proofAge())
}

// prove takes in how old a peer's proof for its version was when it answered a question that
// was sent at the moment. The time on the way counts against the proof.
func (l *levelCheck) prove(version uint64, age *int64, asked time.Time) {
	if age != nil && *age >= 0 {
		l.exchanger.options.Configuration.Proven(version, asked.Add(-time.Duration(*age)*time.Microsecond))
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

// Confirm asks readers whether the node is level, has it catch up when it is not, and reports
// whether it is then. It takes a short time at most. Where there is nobody to ask, the node
// knows no better.
func (e *Exchanger) Confirm(ctx context.Context) bool {
	if e.level.confirmed.within(confirmedFor) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	answer := e.level.confirming.DoChan("", func() (any, error) { return e.level.confirm(), nil })
	select {
	case result := <-answer:
		level, _ := result.Val.(bool)
		return level
	case <-ctx.Done():
		return false
	}
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
	return e.level.exchanger.behind.await(ctx)
}

// confirm is Confirm for all that wait.
func (l *levelCheck) confirm() bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	began := clock.Now()
	hedge := time.NewTicker(confirmHedge)
	defer hedge.Stop()
	answered := make(chan error, int(confirmTimeout/confirmHedge)+1)
	askOne := func() {
		if reader := l.pick(); reader != nil {
			go func() { answered <- l.ask(ctx, reader, 0) }()
		}
	}
	if l.alone() {
		l.logConfirmed("no other reader is known", began)
		return true
	}
	askOne()
	for !l.confirmed.after(began) {
		select {
		case err := <-answered:
			if err == nil {
				l.logConfirmed("a reader has answered", began)
				return l.exchanger.behind.await(ctx)
			}
		case <-hedge.C:
			askOne()
		case <-ctx.Done():
			l.exchanger.options.Logger.Warn("no reader says whether the configuration is the newest",
				zap.Uint64("inForce", l.exchanger.options.Configuration.Version()))
			return false
		}
	}
	return true
}

// logConfirmed writes what a refusal rests on.
func (l *levelCheck) logConfirmed(by string, began time.Time) {
	l.exchanger.options.Logger.Info("configuration confirmed before a refusal", zap.String("by", by),
		zap.Uint64("inForce", l.exchanger.options.Configuration.Version()), zap.Duration("elapsed", clock.Since(began)),
		l.exchanger.behind.proofAge())
}
