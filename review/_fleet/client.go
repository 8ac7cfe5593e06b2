package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// try is one request of a client and what became of it.
type try struct {
	id         string
	machine    *machine
	sent       time.Duration
	ended      time.Duration
	status     int // zero without an answer
	signed     bool
	whole      bool
	notReached bool // no connection
}

// tries collects the requests of all clients.
type tries struct {
	mu  sync.Mutex // guards all
	all []*try
}

func (t *tries) add(entry *try) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, entry)
}

func (t *tries) list() []*try {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*try(nil), t.all...)
}

// load sends requests of one kind from one machine, each on a connection of its own, until the context ends.
type load struct {
	machine  *machine
	name     string
	method   string
	prefix   string
	body     int
	deadline time.Duration
	every    time.Duration
	into     *tries
}

func (l *load) run(ctx context.Context, running *sync.WaitGroup) {
	defer running.Done()
	ticker := time.NewTicker(l.every)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !l.machine.in() {
			continue
		}
		running.Add(1)
		go func() {
			defer running.Done()
			l.send(number)
		}()
	}
}

func (l *load) send(number int) {
	log := l.machine.fleet.log
	entry := &try{id: fmt.Sprintf("%s-%s-%d", l.machine.up.id, l.name, number), machine: l.machine}
	ctx, cancel := context.WithTimeout(context.Background(), l.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, l.method, "http://"+l.machine.at(portOutbound)+l.prefix+strconv.Itoa(number), strings.NewReader(strings.Repeat("x", l.body)))
	if err != nil {
		return
	}
	request.Host, request.Close = host, true
	request.Header.Set(wire["request id"], entry.id)
	request.Header.Set(wire["deadline"], strconv.FormatInt(l.deadline.Milliseconds(), 10))
	transport := &http.Transport{DisableKeepAlives: true}
	entry.sent = log.add("send %s to %s", entry.id, l.machine.name)
	response, err := transport.RoundTrip(request)
	switch {
	case err != nil && strings.Contains(err.Error(), "connection refused"):
		entry.notReached = true
	case err == nil:
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		entry.status = response.StatusCode
		entry.signed = response.Header.Get(wire["signature"]) != ""
		entry.whole = readErr == nil && string(body) == fmt.Sprintf("answer to %s of %d bytes", entry.id, l.body)
	}
	entry.ended = log.add("end %s status %d signed %v whole %v error %v", entry.id, entry.status, entry.signed, entry.whole, err)
	l.into.add(entry)
}
