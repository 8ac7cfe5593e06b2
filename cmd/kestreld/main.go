// Command kestreld is the control daemon that runs on every machine: it serves
// the resource API, relays configuration and, when chosen, reads the store.
package main

import (
	"context"

	"github.com/kestrelstream/kestrelstream/internal/daemon"
	"github.com/kestrelstream/kestrelstream/internal/program"
	"github.com/kestrelstream/kestrelstream/internal/settings"
)

func main() {
	program.Main("kestreld", "Control daemon of kestrelstream.", &settings.DaemonFlags{},
		func(loaded settings.Daemon, forced context.Context) (*daemon.Daemon, error) {
			return daemon.New(loaded, daemon.Options{Force: forced})
		})
}
