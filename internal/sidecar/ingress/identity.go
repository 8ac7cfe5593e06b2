package ingress

import (
	"context"
	"errors"
)

var (
	errNoHealthCheck = errors.New("the health check of the back end's service is not known")
	errNoInstanceID  = errors.New("the back end's health check does not name its id")
)

// ReportedInstance asks the back end's health check for the back end's id, whatever its status is. It
// returns an error if the health check is not known yet or does not name the id.
func (h *Handler) ReportedInstance(ctx context.Context) (id string, err error) {
	path := h.health.Load()
	if path == nil || *path == "" {
		return "", errNoHealthCheck
	}
	response, err := h.checkHealth(ctx, *path)
	if err != nil {
		return "", err
	}
	if id = response.Header.Get(h.options.Vocabulary.InstanceID); id == "" {
		return "", errNoInstanceID
	}
	return id, nil
}
