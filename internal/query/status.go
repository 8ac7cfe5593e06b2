package query

import (
	"cmp"
	"slices"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/distribution"
)

// Status returns the newest version and what each zone has in force.
func (s *Service) Status() v1.Status {
	state := s.state()
	return v1.Status{
		Version:   state.Version(),
		Resources: state.Len(),
		Zones:     s.zones(state.Version()),
	}
}

// Version says whether a version is in force, where not, and why.
func (s *Service) Version(version uint64) v1.VersionStatus {
	status := v1.VersionStatus{
		Version: version,
		Known:   version <= s.state().Version(),
		Zones:   s.zones(version),
	}
	status.InForce = status.Known && inForceEverywhere(status.Zones)
	return status
}

// inForceEverywhere reports whether every known proxy has the version. While
// no proxy is known, nothing says that a version is in force anywhere.
func inForceEverywhere(zones []v1.ZoneStatus) bool {
	proxies := 0
	for _, zone := range zones {
		if !zone.InForce {
			return false
		}
		proxies += zone.Proxies
	}
	return proxies > 0
}

// zones joins the summaries of each zone's relays and judges them by a
// version. Only laggards below that version are listed.
func (s *Service) zones(version uint64) []v1.ZoneStatus {
	byName := map[string]*v1.ZoneStatus{}
	for _, summary := range s.statuses.Zones() {
		zone := byName[summary.Zone]
		if zone == nil {
			zone = &v1.ZoneStatus{Zone: summary.Zone, Lowest: summary.Lowest}
			byName[summary.Zone] = zone
		}
		addSummary(zone, summary, version)
	}
	zones := make([]v1.ZoneStatus, 0, len(byName))
	for _, zone := range byName {
		zone.InForce = zone.Proxies == 0 || zone.Lowest >= version
		zones = append(zones, *zone)
	}
	slices.SortFunc(zones, func(a, b v1.ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
	return zones
}

func addSummary(zone *v1.ZoneStatus, summary distribution.ZoneStatus, version uint64) {
	zone.Relays = append(zone.Relays, summary.Relay)
	zone.FirstExpiry = zone.FirstExpiry.Earlier(summary.FirstExpiry)
	if summary.Proxies > 0 {
		if zone.Proxies == 0 || summary.Lowest < zone.Lowest {
			zone.Lowest = summary.Lowest
		}
		zone.Proxies += summary.Proxies
	}
	for _, laggard := range summary.Laggards {
		if laggard.Applied < version {
			zone.Laggards = append(zone.Laggards, laggard)
		}
	}
}
