package chaos

import (
	"context"
	"fmt"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/lab/mesh"
)

// monitorInterval is how often the proxies' versions are looked at.
const monitorInterval = 2 * time.Millisecond

// monitorResult is what the monitor saw.
type monitorResult struct {
	// Reverted counts how often a proxy enforced an older version than it
	// had before, restarts included.
	reverted int
	findings []string
}

// monitor watches until the context ends that no proxy goes back to an older
// version.
func monitor(ctx context.Context, running *mesh.Mesh) monitorResult {
	highest := map[string]uint64{}
	result := monitorResult{}
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		for _, proxy := range running.Proxies() {
			result.observe(highest, proxy.Name(), proxy.Version())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return result
		}
	}
}

// observe takes in one proxy's version; zero means that it holds none yet and
// serves nobody.
func (m *monitorResult) observe(highest map[string]uint64, name string, version uint64) {
	if version == 0 {
		return
	}
	if before := highest[name]; version < before {
		m.reverted++
		m.findings = append(m.findings, fmt.Sprintf("reverted: %s went from version %d to %d", name, before, version))
	}
	highest[name] = version
}
