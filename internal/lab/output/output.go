// Package output writes what the commands of kestrel-lab print.
package output

import (
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
)

// JSON writes a value as one indented JSON object.
func JSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value), "print JSON")
}
