package sidecar

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// PathBackend is the path of the admin page on the local back end.
const PathBackend = "/backend"

// BackendStatus is a snapshot of the state of the local back end.
type BackendStatus struct {
	Endpoint *roster.Endpoint `json:"endpoint"`
	// LeavesByAnswer is true if the back end has announced in an answer that it is leaving.
	LeavesByAnswer bool `json:"leavesByAnswer"`
	// Limit is the request limit that the back end has announced; null if none.
	Limit *LimitStatus `json:"limit"`
	// Recent is the number of requests sent to it in the last four seconds.
	Recent  int `json:"recent"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// LimitStatus describes a request limit that a back end has announced.
type LimitStatus struct {
	PerSecond float64 `json:"perSecond"`
	// ForSeconds is the time since the back end announced it.
	ForSeconds float64 `json:"forSeconds"`
}

// BackendStatus returns the current state of the local back end. Its endpoint is nil before the
// first heartbeat.
func (s *Sidecar) BackendStatus() BackendStatus {
	limit, load := s.ingress.Limit(), s.ingress.Load()
	status := BackendStatus{Endpoint: s.members.Own().Endpoint, Recent: limit.Recent, Running: load.Running, Waiting: load.Waiting}
	if status.Endpoint != nil {
		status.LeavesByAnswer = s.ingress.LeavesByAnswer(status.Endpoint.Incarnation())
	}
	if limit.HasLimit {
		status.Limit = &LimitStatus{PerSecond: limit.PerSecond, ForSeconds: limit.Age.Round(time.Millisecond).Seconds()}
	}
	return status
}
