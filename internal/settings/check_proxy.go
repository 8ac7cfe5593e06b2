package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Check returns every error of the settings, or nil.
func (p *Proxy) Check() error {
	c := &checker{}
	c.node(p.Node.Node)
	for index, service := range p.Node.Services {
		c.name(fmt.Sprintf("node.services[%d]", index), service)
	}
	c.listen("listen.outbound", p.Listen.Outbound)
	c.listen("listen.admin", p.Listen.Admin)
	c.proxyBackend(p)
	if len(p.Seeds) == 0 {
		c.fail("seeds", "at least one is required")
	}
	c.seeds(p.Seeds)
	c.proxyStream(p.Stream)
	c.proxyLimits(p.Limits)
	c.duration("drain.announce", p.Drain.Announce, 0, 2*time.Second)
	c.duration("drain.timeout", p.Drain.Timeout, time.Second, time.Hour)
	if p.CallerTLS != nil {
		c.file("callerTLS.certificateFile", p.CallerTLS.CertificateFile)
		c.file("callerTLS.keyFile", p.CallerTLS.KeyFile)
	}
	c.identity(p.Identity)
	c.logging(p.Logging)
	return c.result()
}

func (c *checker) proxyBackend(p *Proxy) {
	if p.Backend == nil {
		if p.Listen.Inbound != "" {
			c.fail("listen.inbound", "must be empty without a backend")
		}
		return
	}
	c.listen("listen.inbound", p.Listen.Inbound)
	c.name("backend.service", p.Backend.Service)
	c.name("backend.endpoint", p.Backend.Endpoint)
	c.peer("backend.address", p.Backend.Address)
	if !strings.HasPrefix(p.Backend.HealthPath, "/") {
		c.fail("backend.healthPath", "%q must begin with /", p.Backend.HealthPath)
	}
	c.duration("backend.healthInterval", p.Backend.HealthInterval, 50*time.Millisecond, time.Minute)
	if !slices.Contains(p.Node.Services, p.Backend.Service) {
		c.fail("backend.service", "%q must be among node.services", p.Backend.Service)
	}
}

func (c *checker) proxyStream(stream ProxyStream) {
	const prefix = "stream."
	c.duration(prefix+"heartbeat", stream.Heartbeat, 100*time.Millisecond, time.Minute)
	// A parent heartbeats less often than every second only where its own
	// settings say so.
	c.duration(prefix+"silenceTimeout", stream.SilenceTimeout, time.Second, 10*time.Minute)
	c.duration(prefix+"reportWindow", stream.ReportWindow, 0, 10*time.Second)
	c.backoff(prefix, stream.BackoffMinimum, stream.BackoffMaximum)
	c.number(prefix+"messageBytes", stream.MessageBytes, 1<<10, 1<<30)
	c.number(prefix+"relaysPerZone", stream.RelaysPerZone, 1, 16)
}

func (c *checker) proxyLimits(limits ProxyLimits) {
	const prefix = "limits."
	c.number(prefix+"headerBytes", limits.HeaderBytes, 1<<10, 1<<20)
	c.duration(prefix+"headerTimeout", limits.HeaderTimeout, 100*time.Millisecond, 5*time.Minute)
	c.duration(prefix+"idleTimeout", limits.IdleTimeout, time.Second, time.Hour)
	c.number(prefix+"connections", limits.Connections, 1, 1<<20)
	c.number(prefix+"callMemory", limits.CallMemory, 1<<10, 1<<24)
}
