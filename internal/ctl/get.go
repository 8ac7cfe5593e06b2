package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// getCommand shows resources.
type getCommand struct {
	Resources []string `arg:"" optional:"" placeholder:"KIND[/NAME]" help:"A kind, KIND/NAME, or KIND followed by names; all resources when absent."`
	outputFlags
}

// Run reads and prints the resources.
func (c *getCommand) Run(ctx context.Context, with *environment) error {
	keys, err := parseKeys(c.Resources)
	if err != nil {
		return err
	}
	if len(keys) == 0 {
		return c.list(ctx, with)
	}
	list := v1.ResourceList{}
	for _, key := range keys {
		found, err := with.client.Get(ctx, key)
		if err != nil {
			return err
		}
		list.Items = append(list.Items, found)
	}
	if len(list.Items) == 1 && c.Output == formatJSON {
		return c.print(with.Output, list.Items[0], nil)
	}
	return c.printList(with.Output, list)
}

func (c *getCommand) list(ctx context.Context, with *environment) error {
	var kind resource.Kind
	if len(c.Resources) > 0 {
		parsed, err := parseKind(c.Resources[0])
		if err != nil {
			return err
		}
		kind = parsed
	}
	list, err := with.client.List(ctx, kind)
	if err != nil {
		return err
	}
	return c.printList(with.Output, list)
}

// printList writes YAML as one document a resource, which apply reads back.
func (c *getCommand) printList(output io.Writer, list v1.ResourceList) error {
	if c.Output == formatYAML {
		return printDocuments(output, list.Items)
	}
	return c.print(output, list, func(table *tabwriter.Writer) {
		fmt.Fprintln(table, "KIND\tNAME\tVERSION\tSUMMARY")
		for _, item := range list.Items {
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", item.Kind, item.Metadata.Name, item.Metadata.ResourceVersion, summary(item))
		}
	})
}

// summary is the one line about a resource in a table.
func summary(item *resource.Resource) string {
	switch {
	case item.Service != nil:
		return serviceSummary(item.Service)
	case item.Route != nil:
		return fmt.Sprintf("%s%s -> %s", item.Route.Host, item.Route.PathPrefix, item.Route.Service)
	case item.Secret != nil:
		return "header " + item.Secret.Header
	case item.Placement != nil:
		return fmt.Sprintf("%s, %d rules", item.Placement.Service, len(item.Placement.Rules))
	default:
		return ""
	}
}

func serviceSummary(spec *resource.ServiceSpec) string {
	if spec.Selector != nil {
		return fmt.Sprintf("selected endpoints, %d slots each", spec.Slots)
	}
	var zones []string
	seen := map[string]bool{}
	for _, one := range spec.Endpoints {
		if !seen[one.Zone] {
			seen[one.Zone] = true
			zones = append(zones, one.Zone)
		}
	}
	return fmt.Sprintf("%d endpoints in %s, %d slots each", len(spec.Endpoints), strings.Join(zones, ", "), spec.Slots)
}
