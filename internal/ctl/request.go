package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// requestCommand tells the story of one request from the logs of all nodes.
type requestCommand struct {
	ID    string   `arg:"" help:"The request's id, as its caller sent it."`
	Files []string `arg:"" optional:"" help:"Log files of JSON lines; standard input without any."`
}

// logLineBytes is the longest log line that is read.
const logLineBytes = 1 << 20

// logLine is one line that bears the request's id.
type logLine struct {
	at      time.Time
	node    string
	message string
	// rest holds the other fields, sorted by name.
	rest []string
}

// Run prints the lines that bear the id, in the order of time.
func (c *requestCommand) Run(with *environment) error {
	var found []logLine
	if len(c.Files) == 0 {
		lines, err := linesOf(with.Input, c.ID)
		if err != nil {
			return fmt.Errorf("standard input: %w", err)
		}
		found = lines
	}
	for _, name := range c.Files {
		lines, err := linesOfFile(name, c.ID)
		if err != nil {
			return err
		}
		found = append(found, lines...)
	}
	if len(found) == 0 {
		return fmt.Errorf("no line bears the request id %q: it was served and not sampled, never read, or its line was dropped", c.ID)
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, line := range found {
		since := line.at.Sub(found[0].at).Round(time.Microsecond)
		fmt.Fprintf(with.Output, "+%s %s: %s\n    %s\n", since, line.node, line.message, strings.Join(line.rest, " "))
	}
	return nil
}

func linesOfFile(name, id string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines, err := linesOf(file, id)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

// linesOf reads the lines that bear the id. What stands before the first brace
// of a line, as a collector may put it there, is passed over, and so are lines
// that are no JSON.
func linesOf(from io.Reader, id string) ([]logLine, error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, logLineBytes)
	var found []logLine
	for scanner.Scan() {
		raw := scanner.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 || !bytes.Contains(raw, []byte(id)) {
			continue
		}
		fields := map[string]json.RawMessage{}
		if json.Unmarshal(raw[start:], &fields) != nil || textOf(fields["request"]) != id {
			continue
		}
		found = append(found, describeLine(fields))
	}
	return found, scanner.Err()
}

// describeLine takes a line apart.
func describeLine(fields map[string]json.RawMessage) logLine {
	line := logLine{node: textOf(fields["node"]), message: textOf(fields["message"])}
	line.at, _ = time.Parse(time.RFC3339Nano, textOf(fields["time"]))
	for name, value := range fields {
		switch name {
		case "node", "message", "time", "level", "request", "zone":
		default:
			line.rest = append(line.rest, name+"="+string(value))
		}
	}
	slices.Sort(line.rest)
	return line
}

func textOf(raw json.RawMessage) string {
	var text string
	_ = json.Unmarshal(raw, &text)
	return text
}
