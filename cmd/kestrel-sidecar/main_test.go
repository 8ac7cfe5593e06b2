package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/contention"
)

const settingsFile = `{
  "node_name": "n", "zone": "z", "ip": "127.0.0.1", "port_range": [7000, 7001], "app_addr": "127.0.0.1:1",
  "listen_addrs": {"inbound": "127.0.0.1:2", "outbound": "127.0.0.1:3", "readiness": "127.0.0.1:4", "control": "127.0.0.1:5"},
  "platform": {"address": "127.0.0.1:6"}
}`

// TestFlagsOutliveAReload: settings that are read again have what the command line says, so that
// they do not differ in it from those in force.
func TestFlagsOutliveAReload(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "boot.json")
	g.Expect(os.WriteFile(path, []byte(settingsFile), 0o600)).To(Succeed())
	given := &flags{Settings: path, OverloadControl: "off", LendRepeats: true}
	for range 2 {
		loaded, err := given.load()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(loaded.OverloadControl).To(Equal(contention.Off))
		g.Expect(loaded.LendRepeats).To(BeTrue())
	}
	given.Settings = filepath.Join(t.TempDir(), "absent.json")
	_, err := given.load()
	g.Expect(err).To(HaveOccurred())
}
