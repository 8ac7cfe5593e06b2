package telemetry

import (
	"maps"
	"slices"

	"github.com/kestrelstream/kestrelstream/internal/projection"
)

// AppliedVersion is what the applied page shows.
type AppliedVersion struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest,omitempty"`
}

// SnapshotSummary describes a snapshot without any secret's value.
type SnapshotSummary struct {
	AppliedVersion
	Services []string       `json:"services"`
	Routes   []RouteSummary `json:"routes"`
	// Secrets are names only.
	Secrets []string `json:"secrets"`
}

// RouteSummary describes one route of a snapshot.
type RouteSummary struct {
	Name       string `json:"name"`
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"pathPrefix,omitempty"`
	Service    string `json:"service"`
}

// SummarizeSnapshot returns the summary of a snapshot; nil gives an empty one.
func SummarizeSnapshot(snapshot *projection.Snapshot) SnapshotSummary {
	if snapshot == nil {
		return SnapshotSummary{}
	}
	summary := SnapshotSummary{
		AppliedVersion: AppliedVersion{Version: snapshot.Version, Digest: snapshot.Digest},
		Services:       slices.Sorted(maps.Keys(snapshot.Services)),
		Secrets:        slices.Sorted(maps.Keys(snapshot.Secrets)),
	}
	for _, name := range slices.Sorted(maps.Keys(snapshot.Routes)) {
		route := snapshot.Routes[name]
		summary.Routes = append(summary.Routes, RouteSummary{
			Name: name, Host: route.Host, PathPrefix: route.PathPrefix, Service: route.Service,
		})
	}
	return summary
}

// AddSnapshotPages adds the pages that show which version is applied. The
// snapshot function returns nil before the first one.
func (a *Admin) AddSnapshotPages(snapshot func() *projection.Snapshot) {
	a.AddPage("/applied", "version and digest in force", func() any {
		return SummarizeSnapshot(snapshot()).AppliedVersion
	})
	a.AddPage("/snapshot", "summary of the snapshot in force, without secrets", func() any {
		return SummarizeSnapshot(snapshot())
	})
}
