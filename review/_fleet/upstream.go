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
	"sync/atomic"
	"time"
)

// run is one request that an upstream began to work on.
type run struct {
	id        string
	began     time.Duration
	completed bool
	ended     time.Duration
}

// upstream is a sound stand-in of an application upstream.
type upstream struct {
	id, service, zone, address string
	// version is the version of its software.
	version      string
	slots, queue int
	log          *record
	// work returns how long a request takes; answer may spoil the answer of a completed run.
	work   func(r *http.Request) time.Duration
	answer func(w http.ResponseWriter, r *http.Request) (spoiled bool)

	server   *http.Server
	running  chan struct{}
	waiting  atomic.Int64
	sequence atomic.Uint64

	mu    sync.Mutex // guards all below
	state string
	runs  []*run
	// leavingAcked is the time at which a heartbeat that says draining was first acknowledged, zero before.
	leavingAcked time.Duration
}

func startUpstream(u *upstream) error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.state, u.running = "ready", make(chan struct{}, u.slots)
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(listener) }()
	return nil
}

func (u *upstream) close() { _ = u.server.Close() }

// allRuns returns a copy of the runs.
func (u *upstream) allRuns() (copied []run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, entry := range u.runs {
		copied = append(copied, *entry)
	}
	return copied
}

func (u *upstream) load() string {
	return fmt.Sprintf("%d,%d,%d", len(u.running), u.waiting.Load(), u.slots)
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	if r.URL.Path == "/healthz" {
		header.Set(wire["instance id"], u.id)
		header.Set(wire["load"], u.load())
		u.mu.Lock()
		leaving := u.state != "ready"
		u.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(wire["request id"])
	header.Set(wire["request id"], id)
	reject := func(status int) {
		header.Set(wire["not processed"], "1")
		header.Set(wire["load"], u.load())
		w.WriteHeader(status)
	}
	if target := r.Header.Get(wire["target instance"]); target != "" && target != u.id {
		header.Set(wire["instance id"], u.id)
		reject(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		reject(http.StatusBadRequest)
		return
	}
	left := 30 * time.Second
	if ms, err := strconv.ParseFloat(r.Header.Get(wire["deadline"]), 64); err == nil {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	if int(u.waiting.Add(1)) > u.queue {
		u.waiting.Add(-1)
		reject(http.StatusServiceUnavailable)
		return
	}
	select {
	case u.running <- struct{}{}:
		u.waiting.Add(-1)
	case <-ctx.Done():
		u.waiting.Add(-1)
		reject(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.running }()
	entry := &run{id: id, began: u.log.add("run %s at %s", id, u.id)}
	u.mu.Lock()
	u.runs = append(u.runs, entry)
	u.mu.Unlock()
	timer := time.NewTimer(u.work(r))
	defer timer.Stop()
	completed := false
	select {
	case <-timer.C:
		completed = true
	case <-ctx.Done():
	}
	ended := u.log.add("run of %s at %s ends, completed %v", id, u.id, completed)
	u.mu.Lock()
	entry.completed, entry.ended = completed, ended
	u.mu.Unlock()
	header.Set(wire["load"], u.load())
	if !completed {
		if r.Context().Err() == nil {
			header.Set(wire["signature"], "signed."+u.id+"."+id)
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return
	}
	if u.answer != nil && u.answer(w, r) {
		return
	}
	header.Set(wire["signature"], "signed."+u.id+"."+id)
	_, _ = fmt.Fprintf(w, "answer to %s of %d bytes", id, len(body))
}

// beat sends one heartbeat to the control address of the machine and reports whether it was acknowledged.
func (u *upstream) beat(control string) bool {
	u.mu.Lock()
	state := u.state
	u.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"address": u.address,
		"info":    map[string]any{"service": u.service, "version": u.version, "zone": u.zone, "slots": u.slots},
		"status":  map[string]any{"state": state, "seq": u.sequence.Add(1), wire["warmup left"]: 0},
	})
	acked := callControl(http.MethodPut, control, u.id, body)
	if acked && state == "draining" {
		u.mu.Lock()
		if u.leavingAcked == 0 {
			u.leavingAcked = u.log.add("ack that %s is draining", u.id)
		}
		u.mu.Unlock()
	}
	return acked
}

// callControl sends a call of an upstream and reports whether it was acknowledged within a second.
func callControl(method, control, id string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+control+wire["instances"]+id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4<<10))
	return response.StatusCode/100 == 2
}
