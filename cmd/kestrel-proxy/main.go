// Command kestrel-proxy is the data path on a machine: callers' requests go out
// through it and, beside a back end, requests come in through it.
package main

import (
	"context"

	"github.com/kestrelstream/kestrelstream/internal/agent"
	"github.com/kestrelstream/kestrelstream/internal/program"
	"github.com/kestrelstream/kestrelstream/internal/settings"
)

func main() {
	program.Main("kestrel-proxy", "Data path of kestrelstream.", &settings.ProxyFlags{},
		func(loaded settings.Proxy, forced context.Context) (*agent.Agent, error) {
			return agent.New(loaded, agent.Options{Force: forced})
		})
}
