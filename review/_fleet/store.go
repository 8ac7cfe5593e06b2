package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// storeLatency is the time of an answer, as in the sheets.
	storeLatency = 4 * time.Millisecond
	// rangeItems is the most items of one page.
	rangeItems = 500
)

// item is an entry of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// metadataStore is a sound stand-in of the platform's metadata store: linearizable, with a single
// counter of revisions and its whole history.
type metadataStore struct {
	address string
	mux     *http.ServeMux
	servers []*http.Server

	mu       sync.Mutex // guards all below
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func startStore(address string) (*metadataStore, error) {
	mux := http.NewServeMux()
	store := &metadataStore{address: address, mux: mux, items: map[string]item{}, changed: make(chan struct{})}
	mux.HandleFunc("GET "+wire["store key"], store.serveKey)
	mux.HandleFunc("GET "+wire["store range"], store.serveRange)
	mux.HandleFunc("GET "+wire["store watch"], store.serveWatch)
	mux.HandleFunc("POST "+wire["store transaction"], store.serveTransaction)
	if _, err := store.listen(address); err != nil {
		return nil, err
	}
	return store, nil
}

// listen serves the store at one more address, which answers 503 while the returned switch is on: the store may turn
// some machines away while it serves the others.
func (s *metadataStore) listen(address string) (busy *atomic.Bool, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	busy = &atomic.Bool{}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if busy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.mux.ServeHTTP(w, r)
	})}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return busy, nil
}

func (s *metadataStore) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// value returns the value of a key, nil if there is none.
func (s *metadataStore) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// put writes an item on behalf of the operator.
func (s *metadataStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, value, 0)
	s.notify()
}

func (s *metadataStore) putLocked(key string, value []byte, lease uint64) {
	s.revision++
	next := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if existing, found := s.items[key]; found {
		next.Created = existing.Created
	}
	s.items[key] = next
	s.history = append(s.history, next)
}

func (s *metadataStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *metadataStore) serveKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	found, exists := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !exists {
		reply(w, http.StatusNotFound, map[string]any{"at": at})
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": found.Key, "value": found.Value, "revision": found.Revision, "created": found.Created, "lease": found.Lease, "at": at,
	})
}

func (s *metadataStore) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	prefix, after := r.URL.Query().Get(wire["prefix"]), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, entry := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, entry)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > rangeItems
	if more {
		found = found[:rangeItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "more": more, "at": at})
}

func (s *metadataStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events := []item{}
		for _, entry := range s.history {
			if entry.Revision > after && strings.HasPrefix(entry.Key, query.Get(wire["prefix"])) {
				events = append(events, entry)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if r.Context().Err() == nil {
				reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			}
			return
		}
	}
}

func (s *metadataStore) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var expectedRows []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	}
	var asked struct {
		Put []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"put"`
		Remove []string `json:"remove"`
	}
	body, err := io.ReadAll(r.Body)
	fields := map[string]json.RawMessage{}
	if err == nil {
		err = errors.Join(json.Unmarshal(body, &asked), json.Unmarshal(body, &fields))
	}
	if rows := fields[wire["expected"]]; err == nil && rows != nil {
		err = json.Unmarshal(rows, &expectedRows)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range expectedRows {
		if s.items[expected.Key].Revision != expected.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	for _, entry := range asked.Put {
		s.putLocked(entry.Key, entry.Value, entry.Lease)
	}
	for _, key := range asked.Remove {
		s.revision++
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Gone: true})
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
