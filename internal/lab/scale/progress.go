package scale

import (
	"fmt"
	"io"
	"os"
	"time"
)

// progress writes one line that is replaced at each step, on a terminal only.
type progress struct {
	output io.Writer
	start  time.Time
}

// newProgress returns the progress of a run on standard error.
func newProgress() *progress {
	created := &progress{start: time.Now()}
	if information, err := os.Stderr.Stat(); err == nil && information.Mode()&os.ModeCharDevice != 0 {
		created.output = os.Stderr
	}
	return created
}

func (p *progress) step(format string, arguments ...any) {
	if p.output == nil {
		return
	}
	const clearLine = "\r\x1b[2K"
	line := fmt.Sprintf(format, arguments...)
	// The line is a courtesy: nothing is done when it can't be written.
	_, _ = fmt.Fprintf(p.output, clearLine+"%6.1f s  %s", time.Since(p.start).Seconds(), line)
}

func (p *progress) end() {
	if p.output != nil {
		_, _ = fmt.Fprintln(p.output)
	}
}
