package agent

import (
	"net/http"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// inboundHandler is the proxy's inbound side, which takes requests only while
// the caller's certificate is still believed.
func (a *Agent) inboundHandler() http.Handler {
	inbound := a.proxy.Inbound()
	if a.credentials.Plain() {
		return inbound
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if err := a.credentials.CheckConnection(request); err != nil {
			refused := outcome.Refusal(http.StatusForbidden, outcome.StepRequest, 0, err)
			refused.Peer = request.RemoteAddr
			writer.Header().Set("Connection", "close")
			refused.WriteTo(writer)
			return
		}
		inbound.ServeHTTP(writer, request)
	})
}
