package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the event of its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// store plays the platform's store: items, ranges, watches and conditional writes.
type store struct {
	server *http.Server

	mu       sync.Mutex // guards all below
	revision uint64
	items    map[string]item
	history  []item
	// changed is closed at the next change.
	changed chan struct{}
}

// startStore starts a store on a listener.
func startStore(listener net.Listener) *store {
	created := &store{items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.StoreKey, created.serveKey)
	mux.HandleFunc("GET "+names.StoreRange, created.serveRange)
	mux.HandleFunc("GET "+names.StoreWatch, created.serveWatch)
	mux.HandleFunc("POST "+names.StoreTransaction, created.serveTransaction)
	created.server = &http.Server{Handler: mux}
	go func() { _ = created.server.Serve(listener) }()
	return created
}

func (s *store) close() { _ = s.server.Close() }

// put writes an item on behalf of the operator.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: value})
	s.notify()
}

// write records a change; the lock is held.
func (s *store) write(changed item) {
	s.revision++
	changed.Revision, changed.Created = s.revision, s.revision
	if existing, found := s.items[changed.Key]; found {
		changed.Created = existing.Created
	}
	if changed.Gone {
		delete(s.items, changed.Key)
	} else {
		s.items[changed.Key] = changed
	}
	s.history = append(s.history, changed)
}

// notify wakes the watches; the lock is held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, exists := s.items[r.URL.Query().Get("key")]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{found, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get(names.Prefix), r.URL.Query().Get("after")
	found := []item{}
	for key, each := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, each)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"items": found, "more": false, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		changed, at := s.changed, s.revision
		events := []item{}
		for _, each := range s.history {
			if each.Revision > after && strings.HasPrefix(each.Key, query.Get(names.Prefix)) {
				events = append(events, each)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var fields map[string]json.RawMessage
	var expected, put []item
	var remove []string
	err := json.NewDecoder(r.Body).Decode(&fields)
	for name, into := range map[string]any{names.Expected: &expected, "put": &put, "remove": &remove} {
		if raw, given := fields[name]; given && err == nil {
			err = json.Unmarshal(raw, into)
		}
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, each := range expected {
		if s.items[each.Key].Revision != each.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	for _, each := range put {
		s.write(item{Key: each.Key, Value: each.Value})
	}
	for _, key := range remove {
		s.write(item{Key: key, Gone: true})
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
