package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// lateHeartbeat: a machine goes with its upstream, and its address is given to a new machine with an
// upstream of another service. The last heartbeat of the former upstream arrives seconds late, at the
// new machine.
func lateHeartbeat(r *run) (verdict, error) {
	const (
		called    = "tankwatch"
		slots     = 9
		rounds    = 3
		callers   = 4
		deadline  = 1200 * time.Millisecond
		routePath = "/wulo750/"
	)
	services := []string{"dispatch", "ledger"}
	check := &callerCheck{run: r, checking: map[string]string{}}
	serve := func(e *exchange) bool {
		check.ran(e)
		time.Sleep(10*time.Millisecond + rand.N(20*time.Millisecond))
		return e.answer(200, "level", e.signature())
	}
	for _, zone := range []string{"ikeja", "lekki"} {
		for _, service := range append(services, called) {
			each := r.addNode(zone, service)
			if err := each.startUpstream("i-"+service+"-"+zone, slots, serve); err != nil {
				return verdict{}, err
			}
		}
	}
	machine := r.addNode("apapa", services[0])
	if err := machine.startUpstream("i-apapa-0", slots, serve); err != nil {
		return verdict{}, err
	}
	routes := []route{
		{routePath, "idempotent", called, 0}, {"/lepu270/", "idempotent", services[0], 0}, {"/hucu512/", "idempotent", services[1], 0},
	}
	if err := r.configure(7, append(services, called), routes); err != nil {
		return verdict{}, err
	}
	if err := r.startAll(true); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	for _, path := range []string{"/lepu270/", "/hucu512/", routePath} {
		running.Go(func() { r.callFrom(r.nodes[0], path, deadline, stop, check) })
	}
	err := r.replaceMachines(machine, rounds, func(round int, at *node) error {
		at.service = services[round%len(services)]
		return at.startUpstream(fmt.Sprint("i-apapa-", round), slots, serve)
	}, func(at *node, until chan struct{}) {
		var clients sync.WaitGroup
		for range callers {
			clients.Go(func() { r.callFrom(at, routePath, deadline, until, check) })
		}
		clients.Wait()
	})
	close(stop)
	running.Wait()
	if err != nil {
		return verdict{}, err
	}
	r.note("%d requests run, %d of them for a service that is not their machine's", check.checked, check.foreign)
	fmt.Printf("%d requests run, %d of them for a service that is not their machine's\n", check.checked, check.foreign)
	if check.checked == 0 {
		return verdict{}, fmt.Errorf("no request was run")
	}
	return verdict{rule: "UNASKED", count: check.foreign}, nil
}

// replaceMachines replaces a machine several times by a new one at its address. call makes the new
// machine's clients call until the channel is closed.
func (r *run) replaceMachines(machine *node, rounds int, start func(round int, at *node) error, call func(at *node, until chan struct{})) error {
	const (
		reuseAfter = 2500 * time.Millisecond
		calling    = 5 * time.Second
	)
	for round := 1; round <= rounds; round++ {
		var late *delayedHeartbeat
		if r.trouble {
			var err error
			if late, err = r.sendDelayed(machine); err != nil {
				return err
			}
		}
		r.note("machine %s ends with its upstream %s (%s)", machine.name, machine.upstream.id, machine.service)
		machine.upstream.stop()
		machine.kill()
		time.Sleep(reuseAfter)
		machine = r.addNodeAt(machine.ip, machine.zone, machine.service)
		if err := start(round, machine); err != nil {
			return err
		}
		if err := machine.start(false); err != nil {
			return err
		}
		if err := r.awaitReady(machine); err != nil {
			return err
		}
		until, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			call(machine, until)
		}()
		if late != nil {
			if err := late.deliver(); err != nil {
				return err
			}
		}
		time.Sleep(calling)
		close(until)
		<-done
	}
	return nil
}

// awaitReady waits until a node is ready.
func (r *run) awaitReady(at *node) error {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if at.ready() {
			r.note("%s is ready", at.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", at.name)
}

// delayedHeartbeat is a heartbeat that a proxy holds back.
type delayedHeartbeat struct {
	run     *run
	to      string
	sent    time.Time
	release chan struct{}
	done    chan error
}

// sendDelayed sends a heartbeat of a machine's upstream through a proxy that delays it.
func (r *run) sendDelayed(at *node) (*delayedHeartbeat, error) {
	listener, err := net.Listen("tcp", r.prefix+"3:0")
	if err != nil {
		return nil, err
	}
	created := &delayedHeartbeat{run: r, to: at.control(), sent: time.Now(), release: make(chan struct{}), done: make(chan error, 1)}
	go func() {
		defer listener.Close()
		conn, err := listener.Accept()
		if err != nil {
			created.done <- err
			return
		}
		defer conn.Close()
		received := &bytes.Buffer{}
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = received.ReadFrom(conn) // until the upstream gives up or the time is over
		<-created.release
		created.done <- created.forward(received.Bytes())
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	sequence := at.upstream.sequence.Add(1)
	r.note("heartbeat %d of %s (%s) is sent and delayed", sequence, at.upstream.id, at.service)
	_ = at.heartbeatTo(ctx, listener.Addr().String(), at.upstream.id, at.upstream.slots, sequence)
	return created, nil
}

// forward sends the heartbeat to the control address.
func (d *delayedHeartbeat) forward(request []byte) error {
	conn, err := net.DialTimeout("tcp", d.to, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := conn.Write(request); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	status := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, status); err != nil {
		return err
	}
	d.run.note("the heartbeat sent %.1f s ago arrives, answer %q", time.Since(d.sent).Seconds(), status)
	return nil
}

// deliver lets the proxy send the heartbeat on.
func (d *delayedHeartbeat) deliver() error {
	close(d.release)
	return <-d.done
}

// callerCheck compares the caller's service that upstreams are told with the service of the machine
// on which the request began.
type callerCheck struct {
	run *run

	mu sync.Mutex // guards all below
	// checking maps each request to the service of its machine.
	checking         map[string]string
	checked, foreign int
}

func (c *callerCheck) sent(id, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checking[id] = service
}

func (c *callerCheck) ran(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	caller, expected := e.request.Header.Get(names.CallerService), c.checking[e.id]
	c.run.note("%s runs %s, caller service %s", e.upstream.id, e.id, caller)
	c.checked++
	if caller != expected {
		c.foreign++
		c.run.note("UNASKED: %s began on the machine of %s and runs with caller service %s", e.id, expected, caller)
	}
}

// callFrom sends requests from one machine, each on a new connection.
func (r *run) callFrom(at *node, path string, deadline time.Duration, stop chan struct{}, check *callerCheck) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20*time.Millisecond + rand.N(60*time.Millisecond)):
		}
		opened, err := dialNode(at)
		if err != nil {
			continue
		}
		id := r.nextID()
		check.sent(id, at.service)
		if _, err := io.WriteString(opened, formatRequest("GET", path+"2f", id, "", deadline)); err == nil {
			r.note("client at %s sent GET %s and gets %v", at.name, id, opened.receive("GET", deadline+2*time.Second))
		}
		_ = opened.Close()
	}
}
