package mesh

import (
	"os"

	"github.com/gravitational/trace"
)

// OpenLog opens the file that takes the logs of every node; without a name
// they are dropped.
func OpenLog(name string) (*os.File, error) {
	if name == "" {
		name = os.DevNull
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	return file, trace.Wrap(err, "open the log file")
}
