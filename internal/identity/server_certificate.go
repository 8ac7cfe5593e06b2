package identity

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

// callerProtocols are offered to callers, HTTP/2 first.
var callerProtocols = []string{"h2", applicationProtocol}

// ServerCertificate is the certificate shown to callers from outside the mesh,
// who show none. It is reloaded while connections stand, and is safe for
// concurrent use.
type ServerCertificate struct {
	certificateFile, keyFile string
	current                  atomic.Pointer[tls.Certificate]
}

// LoadServerCertificate reads a certificate and its key, both in PEM.
func LoadServerCertificate(certificateFile, keyFile string) (*ServerCertificate, error) {
	loaded := &ServerCertificate{certificateFile: certificateFile, keyFile: keyFile}
	return loaded, loaded.Reload()
}

// Reload reads the files again. When they can't be used, what was held stays.
func (c *ServerCertificate) Reload() error {
	certificate, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return trace.Wrap(err, "loading the certificate shown to callers")
	}
	c.current.Store(&certificate)
	return nil
}

// Run reloads in every interval until the context ends.
func (c *ServerCertificate) Run(ctx context.Context, interval time.Duration, logger *zap.Logger) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := c.Reload(); err != nil {
				logger.Error("certificate not reloaded, the former stays in force", telemetry.Error(err))
			}
		}
	}
}

// Listen returns the listener with TLS.
func (c *ServerCertificate) Listen(listener net.Listener) net.Listener {
	return tls.NewListener(listener, &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: callerProtocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current.Load(), nil
		},
	})
}
