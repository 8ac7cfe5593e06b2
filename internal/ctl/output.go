package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"sigs.k8s.io/yaml"
)

// The output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

const columnPadding = 2

// outputFlags choose the form of what is printed.
type outputFlags struct {
	Output string `short:"o" enum:"table,json,yaml" default:"table" help:"Form of the output: table, json or yaml."`
}

// print writes a value in the chosen form.
func (f *outputFlags) print(output io.Writer, value any, rows func(*tabwriter.Writer)) error {
	switch f.Output {
	case formatJSON:
		encoder := json.NewEncoder(output)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(value)
	case formatYAML:
		encoded, err := yaml.Marshal(value)
		if err != nil {
			return err
		}
		_, err = output.Write(encoded)
		return err
	default:
		table := tabwriter.NewWriter(output, 0, 0, columnPadding, ' ', 0)
		rows(table)
		return table.Flush()
	}
}

// printDocuments writes a YAML document for each value.
func printDocuments[Value any](output io.Writer, values []Value) error {
	for _, value := range values {
		encoded, err := yaml.Marshal(value)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(output, "---\n%s", encoded); err != nil {
			return err
		}
	}
	return nil
}

// orNone shows an empty text as a dash.
func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func yesOrNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// countOf shows a number with its noun.
func countOf(count int, one, many string) string {
	if count == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", count, many)
}
