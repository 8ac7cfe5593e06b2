package stream

import (
	"context"
	"errors"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
)

// reportTimeout bounds one report. A parent that takes none is left: what is
// lost travels in the next hello.
const reportTimeout = 5 * time.Second

// LinkEvents are called, one after the other, by the goroutine of a link. A
// link calls Refused or Lost last, and nothing after it was closed or its
// context ended, except for a call that had begun.
type LinkEvents struct {
	Connected func()
	// ParentsAdvertised brings the parents that the child may turn to. The goroutine
	// that sends reports may call it, beside the link's.
	ParentsAdvertised func(parents []Parent)
	Received          func(message *distribution.Message)
	// Refused says that the parent turned the child down.
	Refused func(refused *RefusedError)
	// Lost says that the attempt failed or that the stream ended.
	Lost func(err error)
}

// Link is a child's attempt to open a stream and, once open, the stream with
// its reports.
type Link struct {
	client  *Client
	address string
	cancel  context.CancelCauseFunc
	reports *pendingReport
}

var errLinkClosed = errors.New("link closed")

// Link starts an attempt. It ends with ctx or by Close.
func (c *Client) Link(ctx context.Context, address string, hello distribution.Hello, events LinkEvents) *Link {
	linkContext, cancel := context.WithCancelCause(ctx)
	link := &Link{
		client:  c,
		address: address,
		cancel:  cancel,
		reports: newPendingReport(),
	}
	go link.run(linkContext, hello, events)
	return link
}

// Close ends the link without a further event.
func (l *Link) Close() { l.cancel(errLinkClosed) }

// Report sends a report, combined with others while the parent is busy with
// one. It never blocks.
func (l *Link) Report(report distribution.Report) { l.reports.put(report) }

func (l *Link) run(ctx context.Context, hello distribution.Hello, events LinkEvents) {
	defer l.cancel(errLinkClosed)
	err := l.receiveMessages(ctx, hello, events)
	cause := context.Cause(ctx)
	var refused *RefusedError
	switch {
	case errors.Is(cause, errLinkClosed), errors.Is(cause, context.Canceled):
	case cause != nil:
		events.Lost(cause)
	case errors.As(err, &refused):
		events.Refused(refused)
	default:
		events.Lost(err)
	}
}

// receiveMessages opens the stream and hands on every message until the stream ends.
func (l *Link) receiveMessages(ctx context.Context, hello distribution.Hello, events LinkEvents) error {
	opened, err := l.client.Open(ctx, l.address, hello)
	if err != nil {
		return err
	}
	defer opened.Close()
	events.Connected()
	notifyParents(events, opened.Parents())
	go l.sendReports(ctx, opened.Session(), events)
	for {
		message, err := opened.Receive()
		if err != nil {
			return err
		}
		events.Received(message)
	}
}

// sendReports delivers the reports in order. A report that fails ends the
// link: the next hello carries what reports have said.
func (l *Link) sendReports(ctx context.Context, session string, events LinkEvents) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.reports.available:
			report := l.reports.take()
			if report == nil {
				continue
			}
			advertised, err := l.sendReport(ctx, session, *report)
			if err != nil {
				l.cancel(err)
				return
			}
			notifyParents(events, advertised)
		}
	}
}

func (l *Link) sendReport(ctx context.Context, session string, report distribution.Report) ([]Parent, error) {
	reportContext, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return l.client.Report(reportContext, l.address, session, report)
}

func notifyParents(events LinkEvents, parents []Parent) {
	if len(parents) > 0 && events.ParentsAdvertised != nil {
		events.ParentsAdvertised(parents)
	}
}
