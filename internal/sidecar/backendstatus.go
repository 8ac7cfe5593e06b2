package sidecar

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// PathBackend is the operators' page on the back end beside the node.
const PathBackend = "/backend"

// BackendStatus is a moment's state of the back end beside a node.
type BackendStatus struct {
	Endpoint *roster.Endpoint `json:"endpoint"`
	// LeavesByAnswer: it has said with an answer that it leaves.
	LeavesByAnswer bool `json:"leavesByAnswer"`
	// Limit is the one that it has named, null for none.
	Limit *LimitStatus `json:"limit"`
	// Recent is how many requests it got in the last four seconds.
	Recent  int `json:"recent"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// LimitStatus is a limit that a back end has named.
type LimitStatus struct {
	PerSecond float64 `json:"perSecond"`
	// ForSeconds is since when it has said so.
	ForSeconds float64 `json:"forSeconds"`
}

// BackendStatus returns the present state of the back end beside the node; its endpoint is nil before the
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
