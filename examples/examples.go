// Package examples holds the example resources and settings of two
// deployments at their real sizes, and of a minimal one.
package examples

import (
	"embed"
	"io/fs"
	"path"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// The names of the deployments.
const (
	EV      = "ev"
	Depot   = "depot"
	Minimal = "minimal"
)

//go:embed ev depot minimal
var files embed.FS

// Resources returns the resources of a deployment in the order of its files.
func Resources(deployment string) ([]*resource.Resource, error) {
	folder := path.Join(deployment, "resources")
	entries, err := fs.ReadDir(files, folder)
	if err != nil {
		return nil, trace.Wrap(err, "example %s", deployment)
	}
	var resources []*resource.Resource
	for _, entry := range entries {
		content, err := fs.ReadFile(files, path.Join(folder, entry.Name()))
		if err != nil {
			return nil, trace.Wrap(err, "example %s", deployment)
		}
		decoded, err := resource.DecodeDocuments(content)
		if err != nil {
			return nil, trace.Wrap(err, "example %s, file %s", deployment, entry.Name())
		}
		resources = append(resources, decoded...)
	}
	return resources, nil
}
