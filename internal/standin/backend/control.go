package backend

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// HealthState is what the health endpoint says.
type HealthState string

// The states of the health endpoint. Draining and Down go with status 503.
const (
	HealthReady    HealthState = "ready"
	HealthWarming  HealthState = "warming"
	HealthDraining HealthState = "draining"
	HealthDown     HealthState = "down"
)

// Health is the body of the health endpoint.
type Health struct {
	State HealthState `json:"state"`
}

// Load is the body of the load endpoint.
type Load struct {
	Slots int `json:"slots"`
	// Load is the share of slots in use, from 0 to 1.
	Load float64 `json:"load"`
}

func (b *Backend) serveHealth(response http.ResponseWriter, _ *http.Request) {
	state := b.reportedHealth(time.Now())
	status := http.StatusOK
	if state == HealthDraining || state == HealthDown {
		status = http.StatusServiceUnavailable
	}
	writeJSON(response, status, Health{State: state})
}

// reportedHealth is what the health endpoint says at a time.
func (b *Backend) reportedHealth(now time.Time) HealthState {
	behaviour := b.behaviour.Load()
	switch behaviour.Health {
	case HealthAlwaysReady:
		return HealthReady
	case HealthAlwaysDown:
		return HealthDown
	case HealthLagging:
		return b.healthAt(now.Add(-time.Duration(behaviour.HealthLag)))
	default:
		return b.healthAt(now)
	}
}

// healthAt is what truly held at a time.
func (b *Backend) healthAt(when time.Time) HealthState {
	drainStart := b.drainStart.Load()
	switch {
	case drainStart != 0 && when.UnixNano() >= drainStart:
		return HealthDraining
	case when.Before(b.started):
		return HealthDown
	case when.Sub(b.started) < b.options.ColdStart:
		return HealthWarming
	default:
		return HealthReady
	}
}

func (b *Backend) serveLoad(response http.ResponseWriter, _ *http.Request) {
	writeJSON(response, http.StatusOK, Load{Slots: b.options.Slots, Load: b.reportedLoad()})
}

// reportedLoad is the share of slots the back end claims to be in use.
func (b *Backend) reportedLoad() float64 {
	behaviour := b.behaviour.Load()
	switch behaviour.Load {
	case LoadClaimsIdle:
		return 0
	case LoadClaimsFull:
		return 1
	case LoadLagging:
		return b.laggingLoad.at(time.Now(), time.Duration(behaviour.LoadLag), b.trueLoad)
	default:
		return b.trueLoad()
	}
}

func (b *Backend) trueLoad() float64 {
	if b.options.Slots == 0 {
		return 0
	}
	return float64(b.inFlight.Load()) / float64(b.options.Slots)
}

// laggedLoad repeats a sampled load until it is older than the lag.
type laggedLoad struct {
	mutex sync.Mutex
	// taken and value are the last sample; the mutex owns them.
	taken time.Time
	value float64
}

func (l *laggedLoad) at(now time.Time, lag time.Duration, sample func() float64) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.taken.IsZero() || now.Sub(l.taken) >= lag {
		l.taken, l.value = now, sample()
	}
	return l.value
}

func (b *Backend) serveLedger(response http.ResponseWriter, _ *http.Request) {
	writeJSON(response, http.StatusOK, b.options.Ledger.Records())
}

func (b *Backend) serveCounts(response http.ResponseWriter, _ *http.Request) {
	writeJSON(response, http.StatusOK, b.Counts())
}

func (b *Backend) serveBehaviour(response http.ResponseWriter, request *http.Request) {
	var behaviour Behaviour
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&behaviour); err != nil {
		http.Error(response, "behaviour: "+err.Error(), http.StatusBadRequest)
		return
	}
	b.SetBehaviour(behaviour)
	response.WriteHeader(http.StatusNoContent)
}

func (b *Backend) serveDrain(response http.ResponseWriter, _ *http.Request) {
	b.Drain()
	response.WriteHeader(http.StatusNoContent)
}

func writeJSON(response http.ResponseWriter, status int, body any) {
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	_ = json.NewEncoder(response).Encode(body)
}
