package ingress

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
)

// recordInvalid counts and logs bytes of the back end that were rejected. request is nil for bytes
// that came without one; a health check has no id.
func (h *Handler) recordInvalid(request *http.Request, invalid *forward.ReplyError) {
	h.options.Observer.InvalidAnswer(invalid.Reason)
	var id, path string
	if request != nil {
		id, path = request.Header.Get(h.options.Vocabulary.RequestID), request.URL.Path
	}
	h.options.Logger.Info("answer rejected",
		zap.String("request", id),
		zap.String("path", path),
		zap.String("endpoint", h.endpointID()),
		zap.String("reason", string(invalid.Reason)),
		zap.Int64("bytes", invalid.Bytes),
		zap.Duration("elapsed", invalid.Elapsed),
	)
}

// endpointID returns the id of the back end, empty if there is none.
func (h *Handler) endpointID() string {
	if endpoint := h.options.Endpoint(); endpoint != nil {
		return endpoint.ID
	}
	return ""
}
