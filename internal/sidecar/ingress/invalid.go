package ingress

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
)

// recordInvalid counts and logs bytes of the back end that were rejected.
func (h *Handler) recordInvalid(request *http.Request, invalid *forward.ReplyError) {
	h.options.Observer.InvalidAnswer(invalid.Reason)
	names := &h.options.Vocabulary
	h.options.Logger.Info("answer rejected",
		zap.String("request", request.Header.Get(names.RequestID)),
		zap.String("endpoint", request.Header.Get(names.TargetInstance)),
		zap.String("reason", string(invalid.Reason)),
		zap.Int64("bytes", invalid.Bytes),
		zap.Duration("elapsed", invalid.Elapsed),
	)
}
