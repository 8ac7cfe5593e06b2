package ctl

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/client"
)

// historyCommand shows who changed what, and when.
type historyCommand struct {
	Resource string `arg:"" optional:"" placeholder:"KIND[/NAME]" help:"Only changes of this kind or resource."`
	After    uint64 `placeholder:"VERSION" help:"Begin after this version."`
	Limit    int    `help:"Most batches to show; the server's own limit when absent."`
	Fields   bool   `help:"Show the fields that changed, before and after."`
	outputFlags
}

// Run reads and prints the history, oldest first.
func (c *historyCommand) Run(ctx context.Context, with *environment) error {
	request := client.HistoryRequest{After: c.After, Limit: c.Limit}
	kind, name, _ := strings.Cut(c.Resource, "/")
	if kind != "" {
		parsed, err := parseKind(kind)
		if err != nil {
			return err
		}
		request.Kind, request.Name = parsed, name
	}
	history, err := with.client.History(ctx, request)
	if err != nil {
		return err
	}
	return c.print(with.Output, history, func(table *tabwriter.Writer) { c.rows(table, history) })
}

func (c *historyCommand) rows(table *tabwriter.Writer, history v1.History) {
	if history.From > c.After {
		fmt.Fprintf(table, "versions up to %d are no longer held\n", history.From)
	}
	if c.Fields {
		entryBlocks(table, history.Entries)
	} else {
		entryRows(table, history.Entries)
	}
	if history.More && len(history.Entries) > 0 {
		fmt.Fprintf(table, "more follows: ask with --after %d\n", history.Entries[len(history.Entries)-1].Version)
	}
}

func entryRows(table *tabwriter.Writer, entries []v1.HistoryEntry) {
	fmt.Fprintln(table, "VERSION\tTIME\tACTOR\tOPERATION\tCHANGES")
	for _, entry := range entries {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", entry.Version, timeText(entry),
			orNone(entry.Operation.Actor), entry.Operation.ID, changeTexts(entry.Changes))
	}
}

// entryBlocks shows each entry with the fields it changed below it.
func entryBlocks(table *tabwriter.Writer, entries []v1.HistoryEntry) {
	for _, entry := range entries {
		fmt.Fprintf(table, "version %d at %s by %s, operation %s\n", entry.Version, timeText(entry),
			orNone(entry.Operation.Actor), entry.Operation.ID)
		for _, change := range entry.Changes {
			fmt.Fprintf(table, "%s %s\n", change.Key, change.Action)
			fieldRows(table, change.Fields)
		}
	}
}

func timeText(entry v1.HistoryEntry) string {
	return entry.Operation.Time.UTC().Format(time.RFC3339)
}

func changeTexts(changes []v1.HistoryChange) string {
	texts := make([]string, 0, len(changes))
	for _, change := range changes {
		texts = append(texts, fmt.Sprintf("%s %s", change.Key, change.Action))
	}
	return strings.Join(texts, ", ")
}
