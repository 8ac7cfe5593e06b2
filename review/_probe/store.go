package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store.
type store struct {
	mu       sync.Mutex // guards all below
	changed  chan struct{}
	revision uint64
	items    map[string]item
	history  []item
	// down: every call is answered with 503, as nothing was done.
	down bool
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

func newStore() *store {
	return &store{changed: make(chan struct{}), items: map[string]item{}}
}

// serve answers on an address until the server is closed.
func (s *store) serve(address string) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire["store key"], s.key)
	mux.HandleFunc("GET "+wire["store range"], s.rangeOf)
	mux.HandleFunc("GET "+wire["store watch"], s.watch)
	mux.HandleFunc("POST "+wire["store transaction"], s.transaction)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("store: %v", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			answer(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	return server
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// put writes an item on behalf of the operator and returns its revision.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value)
	s.notify()
	return s.revision
}

func (s *store) set(key string, value []byte) {
	next := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if before, found := s.items[key]; found {
		next.Created = before.Created
	}
	s.items[key] = next
	s.history = append(s.history, next)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// value returns the value of a key, nil where there is none.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// pause takes the time of an answer of the store.
func (s *store) pause() {
	time.Sleep(4 * time.Millisecond)
}

// setDown makes the store busy or sound. Watches that wait are cut.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.pause()
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	answer(w, http.StatusOK, map[string]any{
		"key": found.Key, "value": found.Value, "revision": found.Revision, "created": found.Created, "lease": found.Lease, "at": s.revision,
	})
}

func (s *store) rangeOf(w http.ResponseWriter, r *http.Request) {
	s.pause()
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get(wire["prefix"]), r.URL.Query().Get("after")
	found := []item{}
	for key, one := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, one)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	const page = 500
	more := len(found) > page
	answer(w, http.StatusOK, map[string]any{"items": found[:min(len(found), page)], "more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get(wire["prefix"])
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, one := range s.history {
			if one.Revision > after && strings.HasPrefix(one.Key, prefix) {
				events = append(events, one)
			}
		}
		at, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			answer(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	s.pause()
	var asked struct {
		Put []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"put"`
		Remove []string `json:"remove"`
	}
	var expectations []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	}
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(raw, &asked)
	}
	fields := map[string]json.RawMessage{}
	if err == nil {
		err = json.Unmarshal(raw, &fields)
	}
	if expected, found := fields[wire["expected"]]; err == nil && found {
		err = json.Unmarshal(expected, &expectations)
	}
	if err != nil {
		answer(w, http.StatusBadRequest, object{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, differs := []item{}, false
	for _, expected := range expectations {
		found, ok := s.items[expected.Key]
		if ok {
			current = append(current, found)
		}
		differs = differs || found.Revision != expected.Revision
	}
	if differs {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.revision++
	for _, one := range asked.Put {
		s.set(one.Key, one.Value)
	}
	for _, key := range asked.Remove {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Gone: true})
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}
