package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"text/tabwriter"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/client"
	"github.com/kestrelstream/kestrelstream/internal/query"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// secretValuePath is the field that the server does not show.
const secretValuePath = "spec.value"

// diffCommand shows what applying files would change.
type diffCommand struct {
	Files []string `name:"filename" short:"f" required:"" sep:"none" placeholder:"PATH" help:"File, folder, or - for standard input. May be repeated."`
	outputFlags
}

// difference is what applying one resource would change.
type difference struct {
	Key    resource.Key     `json:"key"`
	Action v1.HistoryAction `json:"action"`
	Fields []v1.FieldChange `json:"fields,omitempty"`
	// NotCompared names fields that the server does not show.
	NotCompared []string `json:"notCompared,omitempty"`
}

// DifferentError means that applying the files would change resources.
type DifferentError struct {
	Count int
}

// Error says how many resources differ.
func (e *DifferentError) Error() string {
	return countOf(e.Count, "resource", "resources") + " would change"
}

// Run compares the files with the server's resources and changes nothing.
func (c *diffCommand) Run(ctx context.Context, with *environment) error {
	read, err := readSources(c.Files, with.Input)
	if err != nil {
		return err
	}
	differences := []difference{}
	changed := 0
	for _, declared := range read.resources {
		found, err := compare(ctx, with.client, declared)
		if err != nil {
			return err
		}
		if found.Action != "" {
			changed++
		}
		if found.Action != "" || len(found.NotCompared) > 0 {
			differences = append(differences, found)
		}
	}
	if err := c.print(with.Output, differences, func(table *tabwriter.Writer) { differenceRows(table, differences) }); err != nil {
		return err
	}
	if changed > 0 {
		return &DifferentError{Count: changed}
	}
	return nil
}

// compare returns what applying a resource would change; without an action it
// is nothing that can be seen.
func compare(ctx context.Context, from *client.Client, declared *resource.Resource) (difference, error) {
	found := difference{Key: declared.Key()}
	held, err := from.Get(ctx, declared.Key())
	if isAbsent(err) {
		found.Action = v1.HistoryCreated
		found.Fields = query.FieldChanges(nil, declared)
		return found, nil
	}
	if err != nil {
		return found, err
	}
	for _, change := range query.FieldChanges(held, declared) {
		if declared.Secret != nil && change.Path == secretValuePath {
			found.NotCompared = append(found.NotCompared, change.Path)
			continue
		}
		found.Action = v1.HistoryUpdated
		found.Fields = append(found.Fields, change)
	}
	return found, nil
}

func isAbsent(err error) bool {
	var problem *client.ProblemError
	return errors.As(err, &problem) && problem.Problem.Status == http.StatusNotFound
}

func differenceRows(table *tabwriter.Writer, differences []difference) {
	for _, one := range differences {
		if one.Action != "" {
			fmt.Fprintf(table, "%s would be %s\n", one.Key, one.Action)
		}
		fieldRows(table, one.Fields)
		for _, path := range one.NotCompared {
			fmt.Fprintf(table, "%s: %s is write-only and was not compared\n", one.Key, path)
		}
	}
}

// fieldRows shows values before and after, one field a row.
func fieldRows(table *tabwriter.Writer, fields []v1.FieldChange) {
	for _, field := range fields {
		fmt.Fprintf(table, "  %s\t%s\t-> %s\n", field.Path, orNone(field.Before), orNone(field.After))
	}
}
