package ctl_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/ctl"
)

const (
	arrivalLine = `{"level":"info","time":"2026-12-02T10:00:00.250Z","message":"arrival failed","node":"b","zone":"z","request":"r-1","step":"admit","waiting":7}`
	callLine    = `{"level":"info","time":"2026-12-02T10:00:00.300Z","message":"call failed","node":"a","zone":"z","request":"r-1","status":503}`
	otherLine   = `{"level":"info","time":"2026-12-02T10:00:00.100Z","message":"call served","node":"a","request":"r-2","peer":"r-1"}`
)

func runRequest(input string, arguments ...string) (code int, output, problems string) {
	var out, errs bytes.Buffer
	code = ctl.Run(context.Background(), append([]string{"request"}, arguments...),
		ctl.Streams{Input: strings.NewReader(input), Output: &out, Errors: &errs})
	return code, out.String(), errs.String()
}

// TestRequestTellsTheStory: over several files, in the order of time, whatever a
// collector put before the lines.
func TestRequestTellsTheStory(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	first, second := filepath.Join(folder, "a.log"), filepath.Join(folder, "b.log")
	g.Expect(os.WriteFile(first, []byte("no JSON {r-1\n  12.5 node-a "+callLine+"\n"+otherLine+"\n"), 0o600)).To(Succeed())
	g.Expect(os.WriteFile(second, []byte(arrivalLine+"\n"), 0o600)).To(Succeed())
	code, output, _ := runRequest("", "r-1", first, second)
	g.Expect(code).To(Equal(ctl.ExitSuccess))
	g.Expect(output).To(Equal("+0s b: arrival failed\n    step=\"admit\" waiting=7\n+50ms a: call failed\n    status=503\n"))
}

func TestRequestReadsStandardInput(t *testing.T) {
	g := NewWithT(t)
	code, output, _ := runRequest(arrivalLine+"\n"+callLine+"\n", "r-1")
	g.Expect(code).To(Equal(ctl.ExitSuccess))
	g.Expect(strings.Count(output, "\n")).To(Equal(4))
	code, _, problems := runRequest(arrivalLine, "r-9")
	g.Expect(code).NotTo(Equal(ctl.ExitSuccess))
	g.Expect(problems).To(ContainSubstring(`"r-9"`))
	code, _, problems = runRequest("", "r-1", "/nonexistent/file")
	g.Expect(code).NotTo(Equal(ctl.ExitSuccess))
	g.Expect(problems).To(ContainSubstring("/nonexistent/file"))
}
