package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrivalSeen is one request as it reached an upstream.
type arrivalSeen struct {
	id, upstream, service, target string
	at, started, ended            time.Time
	refused, ran, failed, cut     bool
}

// upstream is a stand-in of an application upstream.
type upstream struct {
	id, service, zone, address, control string
	slots                               int
	work                                time.Duration
	server                              *http.Server
	stop                                chan struct{}
	// version is that of the software; of bad software every second answer is a failure.
	version string
	bad     bool

	mu       sync.Mutex // guards all below
	state    string
	seq      uint64
	running  int
	arrivals []arrivalSeen
}

func startUpstream(id, service, zone, address, control string, slots int, work time.Duration) *upstream {
	u := &upstream{id: id, service: service, zone: zone, address: address, control: control, slots: slots, work: work, state: "ready", stop: make(chan struct{}), version: "v1"}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("upstream: %v", err)
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	return u
}

// beatForever sends heartbeats until the upstream ends.
func (u *upstream) beatForever() {
	for {
		_, _ = u.beat()
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-u.stop:
			return
		}
	}
}

// beat sends one heartbeat and returns the time of its acknowledgement.
func (u *upstream) beat() (time.Time, error) {
	u.mu.Lock()
	u.seq++
	state, seq := u.state, u.seq
	u.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"address": u.address,
		"info":    map[string]any{"service": u.service, "version": u.version, "zone": u.zone, "slots": u.slots},
		"status":  map[string]any{"state": state, "seq": seq, wire["warmup left"]: 0},
	})
	return u.call(http.MethodPut, body)
}

func (u *upstream) call(method string, body []byte) (time.Time, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+u.control+wire["instances"]+u.id, bytes.NewReader(body))
	if err != nil {
		return time.Time{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return time.Time{}, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return time.Time{}, fmt.Errorf("status %d", response.StatusCode)
	}
	return time.Now(), nil
}

// drain says that the upstream is leaving and returns the time of the acknowledgement.
func (u *upstream) drain() (time.Time, error) {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	return u.beat()
}

func (u *upstream) seen() []arrivalSeen {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrivalSeen(nil), u.arrivals...)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	if r.URL.Path == "/healthz" {
		header.Set(wire["instance id"], u.id)
		u.mu.Lock()
		state := u.state
		header.Set(wire["load"], fmt.Sprintf("%d,0,%d", u.running, u.slots))
		u.mu.Unlock()
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	seen := arrivalSeen{id: r.Header.Get(wire["request id"]), upstream: u.id, service: u.service, target: r.Header.Get(wire["target instance"]), at: time.Now()}
	header.Set(wire["request id"], seen.id)
	if seen.target != "" && seen.target != u.id {
		seen.refused = true
		u.record(seen)
		header.Set(wire["instance id"], u.id)
		header.Set(wire["not processed"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	full := u.running >= u.slots
	if !full {
		u.running++
	}
	running := u.running
	u.mu.Unlock()
	if full {
		seen.refused = true
		u.record(seen)
		header.Set(wire["not processed"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		seen.ended = time.Now()
		u.record(seen)
		return
	}
	seen.started, seen.ran = time.Now(), true
	work := u.work
	if text := r.URL.Query().Get("work_ms"); text != "" {
		milliseconds, _ := strconv.Atoi(text)
		work = time.Duration(milliseconds) * time.Millisecond
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		seen.ended, seen.cut = time.Now(), true
		u.record(seen)
		return
	}
	seen.ended = time.Now()
	seen.failed = u.bad && requestNumber.Add(1)%2 == 0
	u.record(seen)
	u.mu.Lock()
	if u.state != "ready" {
		header.Set("Connection", "close")
	}
	u.mu.Unlock()
	header.Set(wire["load"], fmt.Sprintf("%d,0,%d", running, u.slots))
	header.Set(wire["signature"], "sig."+u.id+"."+seen.id)
	if seen.failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, "the answer of "+u.id+" to "+seen.id)
}

func (u *upstream) record(seen arrivalSeen) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals = append(u.arrivals, seen)
}
