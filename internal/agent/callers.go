package agent

import (
	"context"
	"net"
	"time"

	"golang.org/x/net/netutil"
)

// callers returns the callers' listener: bounded, and with TLS and HTTP/2
// where there is a certificate.
func (a *Agent) callers() net.Listener {
	bounded := netutil.LimitListener(a.listeners.Outbound, a.settings.Limits.Connections)
	if a.callerCertificate == nil {
		return bounded
	}
	return a.callerCertificate.Listen(bounded)
}

// reloadCertificates reloads what the process proves itself by until the
// context ends.
func (a *Agent) reloadCertificates(ctx context.Context) error {
	if a.callerCertificate != nil {
		interval := time.Duration(a.settings.Identity.ReloadInterval)
		go a.callerCertificate.Run(ctx, interval, a.logger)
	}
	a.credentials.Run(ctx)
	return nil
}

// InFlight is what the in-flight page shows.
type InFlight struct {
	// Outbound counts calls of callers, Inbound requests for the back end.
	Outbound int  `json:"outbound"`
	Inbound  int  `json:"inbound"`
	Draining bool `json:"draining"`
}
