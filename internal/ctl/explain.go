package ctl

import (
	"fmt"
	"text/tabwriter"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// explainCommand describes a kind.
type explainCommand struct {
	Kind string `arg:"" help:"Service, Route, Secret or Placement."`
	outputFlags
}

// explanation is the description of a kind.
type explanation struct {
	Kind    resource.Kind    `json:"kind"`
	Meaning string           `json:"meaning"`
	Fields  []resource.Field `json:"fields"`
}

// Run prints the fields of the kind; no server is asked.
func (c *explainCommand) Run(with *environment) error {
	kind, err := parseKind(c.Kind)
	if err != nil {
		return err
	}
	described := explanation{Kind: kind, Meaning: resource.Meaning(kind), Fields: resource.Fields(kind)}
	return c.print(with.Output, described, func(table *tabwriter.Writer) {
		fmt.Fprintf(table, "%s: %s\n\n", described.Kind, described.Meaning)
		fmt.Fprintln(table, "FIELD\tTYPE\tREQUIRED\tMEANING\tLIMITS")
		for _, field := range described.Fields {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", field.Path, field.Type, yesOrNo(field.Required), field.Meaning, orNone(field.Limits))
		}
	})
}
