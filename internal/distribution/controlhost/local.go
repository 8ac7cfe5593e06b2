package controlhost

import (
	"context"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/membership"
)

const (
	// localSuffix distinguishes the name of the local child from the daemon's.
	localSuffix = "/members"
	// localReportInterval is the interval between the reports that keep the
	// local child's session alive.
	localReportInterval = 4 * time.Second
	// localRetryInterval is the interval between attempts to attach the local
	// child.
	localRetryInterval = time.Second
)

// localChild is an in-process child of the daemon's own relay. Through it the
// daemon announces itself and learns of the other daemons by the same updates
// that carry endpoint states. It is owned by the loop's goroutine.
type localChild struct {
	host   *Host
	node   distribution.Node
	roster *membership.Roster
	// id is the ID of the session; zero while not attached.
	id       relay.SessionID
	received []*distribution.Message
	// reportAt and retryAt are the times of the next report and attempt;
	// steppedAt is the time of the last call of step.
	reportAt  time.Time
	retryAt   time.Time
	steppedAt time.Time
	members   []membership.Member
	// readerPath is the path at the time of the last announcement.
	readerPath readerPath
}

// readerPath describes how a daemon is connected to a reader.
type readerPath struct {
	isReader bool
	parent   string
}

func newLocalChild(host *Host, node distribution.Node, roster *membership.Roster) *localChild {
	node.Name += localSuffix
	return &localChild{host: host, node: node, roster: roster}
}

// receive queues a message for the next step.
func (l *localChild) receive(message *distribution.Message) {
	l.received = append(l.received, message)
}

// sessionClosed records that the relay ended the session.
func (l *localChild) sessionClosed(id relay.SessionID) {
	if id == l.id {
		l.id = 0
	}
}

// next returns the latest time at which step has to run.
func (l *localChild) next() time.Time {
	next := l.reportAt
	if l.id == 0 {
		next = l.retryAt
	}
	if settlesAt := l.roster.SettlesAt(); settlesAt.After(l.steppedAt) {
		next = earliest(next, settlesAt)
	}
	return next
}

// step performs the actions that are due and processes received messages until
// none is left, passing the resulting inputs to the core.
func (l *localChild) step(ctx context.Context, now time.Time) {
	l.steppedAt = now
	l.roster.SetReaderPath(now, !l.host.core.Relay().Source().Detached)
	switch {
	case l.id == 0 && !now.Before(l.retryAt):
		l.attach(ctx, now)
	case l.id != 0 && !now.Before(l.reportAt):
		l.report(ctx, now, nil)
	}
	l.reannounce(ctx, now)
	l.publishMembers(ctx, now)
	for len(l.received) > 0 {
		message := l.received[0]
		l.received = l.received[1:]
		l.observe(ctx, now, message.Endpoints)
		l.host.performCoreOutputs(ctx, l.host.core.Sent(now, l.id))
		l.publishMembers(ctx, now)
	}
}

func (l *localChild) attach(ctx context.Context, now time.Time) {
	l.retryAt = now.Add(localRetryInterval)
	l.reportAt = now.Add(localReportInterval)
	l.host.lastSession++
	l.id = l.host.lastSession
	outputs := l.host.core.Attach(now, l.id, distribution.Hello{
		Node:      l.node,
		Kind:      distribution.ChildControl,
		Version:   l.host.core.State().Version(),
		Endpoints: []endpoint.Update{l.roster.Announcement()},
	})
	for _, refusal := range outputs.Refusals {
		l.sessionClosed(refusal.Session)
	}
	l.host.performCoreOutputs(ctx, outputs)
}

// report reports to the relay that the child is alive, with any new
// announcements.
func (l *localChild) report(ctx context.Context, now time.Time, announcements []endpoint.Update) {
	if l.id == 0 {
		return
	}
	l.reportAt = now.Add(localReportInterval)
	l.host.performCoreOutputs(ctx, l.host.core.Report(now, l.id, distribution.Report{
		Node:      l.node,
		Applied:   l.host.core.State().Version(),
		Endpoints: announcements,
	}))
}

// reannounce announces the daemon again when its path to a reader has changed.
func (l *localChild) reannounce(ctx context.Context, now time.Time) {
	current := readerPath{isReader: l.host.core.HoldsReaderSlot()}
	if parent, attached := l.host.core.Parent(); attached {
		current.parent = parent.Node
	}
	if l.id == 0 || current == l.readerPath || current == (readerPath{}) {
		return
	}
	l.readerPath = current
	l.report(ctx, now, []endpoint.Update{l.roster.Reannounce()})
}

func (l *localChild) observe(ctx context.Context, now time.Time, updates []endpoint.Update) {
	if refutation, refuted := l.roster.Observe(now, updates); refuted {
		l.report(ctx, now, []endpoint.Update{refutation})
	}
}

// announceLeaving announces that the daemon is stopping.
func (l *localChild) announceLeaving(ctx context.Context, now time.Time) {
	l.report(ctx, now, []endpoint.Update{l.roster.Leave()})
}

// publishMembers passes the member list to the core and to readers of Members
// when it changed.
func (l *localChild) publishMembers(ctx context.Context, now time.Time) {
	members := l.roster.Members(now)
	// The roster returns the same slice until its members change.
	unchanged := len(l.members) > 0 && &members[0] == &l.members[0]
	if unchanged || slices.Equal(members, l.members) {
		return
	}
	l.members = members
	l.host.members.store(members)
	l.host.performCoreOutputs(ctx, l.host.core.Members(now, members))
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
