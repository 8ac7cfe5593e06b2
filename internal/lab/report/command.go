// Package report is the command that turns the JSON results of the other
// commands into one self-contained HTML page with tables and plots.
package report

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

// Command holds the flags of `kestrel-lab report`.
type Command struct {
	Output string   `short:"o" default:"report.html" help:"File the page is written to." placeholder:"FILE"`
	Title  string   `default:"kestrelstream measurements" help:"Title of the page."`
	Files  []string `arg:"" help:"JSON results of simulate, load, bench, chaos, demo or scale, and sweep.csv." type:"existingfile"`
}

// Run reads the results and writes the page.
func (c *Command) Run() error {
	page := Page{Title: c.Title}
	for _, name := range c.Files {
		content, err := os.ReadFile(name)
		if err != nil {
			return trace.Wrap(err, "read %s", name)
		}
		documents, err := read(filepath.Base(name), content)
		if err != nil {
			return trace.Wrap(err, "read %s", name)
		}
		page.Documents = append(page.Documents, documents...)
	}
	file, err := os.Create(c.Output)
	if err != nil {
		return trace.Wrap(err, "create the page")
	}
	if err := page.Write(file); err != nil {
		_ = file.Close()
		return trace.Wrap(err, "write %s", c.Output)
	}
	return trace.Wrap(file.Close(), "write %s", c.Output)
}

// tableExtension marks files that hold a table rather than JSON.
const tableExtension = ".csv"

func read(name string, content []byte) ([]Document, error) {
	if filepath.Ext(name) != tableExtension {
		return ReadDocuments(name, content)
	}
	document, err := ReadTable(name, content)
	return []Document{document}, err
}
