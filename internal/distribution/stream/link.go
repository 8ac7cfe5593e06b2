package stream

import (
	"context"
	"errors"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
)

// reportTimeout limits the delivery of one report. On a timeout the link ends;
// the next hello carries the content of the lost report.
const reportTimeout = 5 * time.Second

// LinkEvents holds the callbacks of a link. The link's goroutine calls them one
// at a time; Refused or Lost is the last one. After the link was closed or its
// context ended there is no further call, except one already in progress.
type LinkEvents struct {
	Connected func()
	// ParentsAdvertised receives the parents that the child may attach to. The
	// goroutine that sends reports calls it too, possibly at the same time as the
	// link's goroutine calls another callback.
	ParentsAdvertised func(parents []Parent)
	Received          func(message *distribution.Message)
	// Refused is called when the parent refused the stream.
	Refused func(refused *RefusedError)
	// Lost is called when the attempt failed or the stream ended.
	Lost func(err error)
}

// Link is a child's attempt to open a stream to a parent and, after it succeeds,
// the open stream and the reports sent for it.
type Link struct {
	client  *Client
	address string
	cancel  context.CancelCauseFunc
	reports *pendingReport
}

var errLinkClosed = errors.New("link closed")

// Link starts an attempt to open a stream. The link ends when ctx does or when
// Close is called.
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

// Close ends the link without a call of Refused or Lost.
func (l *Link) Close() { l.cancel(errLinkClosed) }

// Report queues a report. Reports queued while an earlier one is being delivered
// are combined into one. It never blocks.
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

// receiveMessages opens the stream and passes every message to the Received
// callback until the stream ends.
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

// sendReports delivers queued reports in order. A failed delivery ends the link;
// the next hello carries the content of the reports.
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
