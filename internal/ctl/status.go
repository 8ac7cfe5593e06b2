package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/distribution"
)

// statusCommand shows what each zone has in force.
type statusCommand struct {
	At uint64 `name:"version" placeholder:"VERSION" help:"Say whether this version is in force, where not, and why."`
	outputFlags
}

// Run reads and prints the status.
func (c *statusCommand) Run(ctx context.Context, with *environment) error {
	if c.At != 0 {
		status, err := with.client.Version(ctx, c.At)
		if err != nil {
			return err
		}
		return c.print(with.Output, status, func(table *tabwriter.Writer) { versionRows(table, status) })
	}
	status, err := with.client.Status(ctx)
	if err != nil {
		return err
	}
	return c.print(with.Output, status, func(table *tabwriter.Writer) {
		fmt.Fprintf(table, "version %d, %s\n\n", status.Version, countOf(status.Resources, "resource", "resources"))
		zoneRows(table, status.Zones)
	})
}

func versionRows(table io.Writer, status v1.VersionStatus) {
	fmt.Fprintf(table, "version %d, known here: %s, in force everywhere: %s\n\n", status.Version, yesOrNo(status.Known), yesOrNo(status.InForce))
	zoneRows(table, status.Zones)
}

func zoneRows(table io.Writer, zones []v1.ZoneStatus) {
	fmt.Fprintln(table, "ZONE\tPROXIES\tLOWEST VERSION\tRELAYS\tFIRST EXPIRY\tBEHIND")
	for _, zone := range zones {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\n", zone.Zone, zone.Proxies, zone.Lowest,
			orNone(strings.Join(zone.Relays, ",")), orNone(expiryText(zone.FirstExpiry)), orNone(laggards(zone.Laggards)))
	}
}

func expiryText(first *distribution.Expiry) string {
	if first == nil {
		return ""
	}
	return first.Time.UTC().Format(time.RFC3339) + " " + first.Node
}

func laggards(behind []distribution.Laggard) string {
	texts := make([]string, 0, len(behind))
	for _, laggard := range behind {
		texts = append(texts, laggardText(laggard))
	}
	return strings.Join(texts, "; ")
}

func laggardText(laggard distribution.Laggard) string {
	text := fmt.Sprintf("%s at %d", laggard.Node, laggard.Applied)
	if laggard.Silent > 0 {
		text += fmt.Sprintf(", silent for %v", laggard.Silent.Round(time.Second))
	}
	if laggard.Failure != nil {
		text += fmt.Sprintf(", refused %d at %s: %s", laggard.Failure.Version, laggard.Failure.Step, laggard.Failure.Reason)
	}
	return text
}
