package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/proxy"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// forwardStates sends the state changes of all back ends to the caller's proxy
// after a delay.
func (m *mesh) forwardStates(delay time.Duration) {
	for _, backend := range m.backends {
		backend.proxy.ObserveBackend(func(update endpoint.Update) {
			time.AfterFunc(delay, func() { m.caller.UpdateEndpoints([]endpoint.Update{update}) })
		})
	}
}

// TestDrainCompletesRequestsInFlight drains one of two back ends while it serves
// requests. State changes take a second to arrive at the caller's proxy.
func TestDrainCompletesRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(2, nil)
		defer testMesh.close()
		ctx, cancel := context.WithCancel(t.Context())
		for _, backend := range testMesh.backends {
			go backend.proxy.Run(ctx)
		}
		defer func() { cancel(); synctest.Wait() }()
		testMesh.forwardStates(time.Second)
		time.Sleep(5 * time.Second)
		draining := testMesh.backends[0]
		release := make(chan struct{})
		testMesh.setHandlers(answerAfter(release))
		var held []<-chan result
		for index := range 8 {
			held = append(held, testMesh.startCall(testMesh.request("POST", fmt.Sprint("held", index))))
		}
		synctest.Wait()
		_, inFlight := draining.proxy.InFlight()
		g.Expect(inFlight).To(Equal(4))
		drained := make(chan error, 1)
		drainStart := time.Now()
		go func() { drained <- draining.proxy.Drain(ctx) }()
		time.Sleep(1800 * time.Millisecond)
		synctest.Wait()
		g.Expect(drained).NotTo(Receive())
		close(release)
		for _, done := range held {
			g.Expect((<-done).body).To(Equal("ok"))
		}
		g.Expect(<-drained).To(Succeed())
		g.Expect(time.Since(drainStart)).To(Equal(1800 * time.Millisecond))
		draining.stop()
		for index := range 20 {
			call := fmt.Sprint("late", index)
			g.Expect(testMesh.call("POST", call).body).To(Equal("ok"))
			g.Expect(draining.runCount(call)).To(BeZero())
		}
	})
}

// TestDrainRacesIdleConnection sends a request on a connection that was idle when
// the drain began. Before the end of the announce period it must be run; after it,
// refused as not run.
func TestDrainRacesIdleConnection(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second, 1499 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				testMesh := newMesh(1, nil)
				defer testMesh.close()
				g.Expect(testMesh.call("POST", "warm").body).To(Equal("ok"))
				draining := testMesh.backends[0]
				drained := make(chan error, 1)
				go func() { drained <- draining.proxy.DrainBackend(t.Context()) }()
				time.Sleep(after)
				synctest.Wait()
				got := testMesh.call("POST", "racing")
				if after < proxy.DefaultAnnouncePeriod {
					g.Expect(got.body).To(Equal("ok"))
				} else {
					g.Expect(got.status).To(Equal(503))
					g.Expect(got.header.Get("Kestrel-Outcome")).To(Equal("not-run"))
					g.Expect(draining.runCount("racing")).To(BeZero())
				}
				g.Expect(<-drained).To(Succeed())
				draining.proxy.ResumeBackend()
				g.Expect(testMesh.call("POST", "back").body).To(Equal("ok"))
			})
		})
	}
}

// TestBackendReportsDraining checks that a back end whose health response says it
// is draining gets no new requests once the announce period is over, even from a
// caller's proxy that did not receive the state change, and gets requests again
// once it no longer says so.
func TestBackendReportsDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(1, nil)
		defer testMesh.close()
		var draining atomic.Bool
		testMesh.setHandlers(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/health" && draining.Load() {
				w.WriteHeader(503)
				_, _ = w.Write([]byte(`{"state":"draining"}`))
				return
			}
			answerOK(w, r)
		})
		backend := testMesh.backends[0]
		var states []endpoint.State
		backend.proxy.ObserveBackend(func(update endpoint.Update) { states = append(states, update.State) })
		ctx, cancel := context.WithCancel(t.Context())
		go backend.proxy.Run(ctx)
		defer func() { cancel(); synctest.Wait() }()
		time.Sleep(20 * time.Second)
		draining.Store(true)
		time.Sleep(time.Second)
		g.Expect(testMesh.call("POST", "early").body).To(Equal("ok"))
		time.Sleep(time.Second)
		late := testMesh.call("POST", "late")
		g.Expect(late.header.Get("Kestrel-Error")).To(HavePrefix("step=drain"))
		g.Expect(backend.runCount("late")).To(BeZero())
		draining.Store(false)
		time.Sleep(time.Second)
		g.Expect(testMesh.call("POST", "back").body).To(Equal("ok"))
		g.Expect(states).To(Equal([]endpoint.State{endpoint.Down, endpoint.Warming, endpoint.Ready, endpoint.Draining, endpoint.Warming}))
	})
}

// TestShortDeadlinesDoNotEjectEndpoints checks that timeouts of calls with a too
// short deadline do not eject an endpoint for other callers.
func TestShortDeadlinesDoNotEjectEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(2, nil)
		defer testMesh.close()
		slow := testMesh.backends[0]
		slow.setHandler(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			answerOK(w, r)
		})
		for index := range 40 {
			shortDeadline := testMesh.request("POST", fmt.Sprint("hurried", index))
			shortDeadline.Header.Set("Kestrel-Deadline-Ms", "50")
			testMesh.do(shortDeadline)
		}
		for index := range 20 {
			testMesh.call("POST", fmt.Sprint("patient", index))
		}
		patient := 0
		for index := range 20 {
			patient += slow.runCount(fmt.Sprint("patient", index))
		}
		g.Expect(patient).To(BeNumerically(">", 0))
	})
}

func TestForcedStopReportsRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(1, nil)
		defer testMesh.close()
		release := make(chan struct{})
		testMesh.setHandlers(answerAfter(release))
		held := testMesh.startCall(testMesh.request("POST", "one"))
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := testMesh.backends[0].proxy.Drain(ctx)
		var cut *proxy.ForcedStopError
		g.Expect(err).To(BeAssignableToTypeOf(cut))
		g.Expect(err.(*proxy.ForcedStopError).Inbound).To(Equal(1))
		close(release)
		g.Expect((<-held).body).To(Equal("ok"))
	})
}

func TestReloadDuringCall(t *testing.T) {
	cases := []struct {
		name   string
		change func(*projection.Snapshot)
		status int
		step   string
	}{
		{"route removed", func(config *projection.Snapshot) { config.Routes = nil }, 404, "match"},
		{"endpoints removed", func(config *projection.Snapshot) { config.Services[serviceName].Endpoints = nil }, 503, "choose"},
		{"zone no longer allowed", func(config *projection.Snapshot) { config.Services[serviceName].AllowedZones = []string{"south"} }, 503, "choose"},
	}
	for _, reload := range cases {
		t.Run(reload.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				testMesh := newMesh(2, nil)
				defer testMesh.close()
				release := make(chan struct{})
				testMesh.setHandlers(answerAfter(release))
				held := testMesh.startCall(testMesh.request("POST", "held"))
				synctest.Wait()
				service := *testMesh.config.Services[serviceName]
				testMesh.config.Services = map[string]*projection.Service{serviceName: &service}
				reload.change(&testMesh.config)
				testMesh.apply()
				got := testMesh.call("POST", "new")
				g.Expect(got.status).To(Equal(reload.status))
				g.Expect(got.header.Get("Kestrel-Outcome")).To(Equal("not-run"))
				g.Expect(got.header.Get("Kestrel-Error")).To(HavePrefix("step=" + reload.step))
				close(release)
				g.Expect((<-held).body).To(Equal("ok"))
				g.Expect(testMesh.runCount("new")).To(BeZero())
			})
		})
	}
}

// TestRestartedEndpointIsUsedAtOnce checks that a new incarnation of an ejected
// endpoint is used at once: failures of the earlier incarnation do not count.
func TestRestartedEndpointIsUsedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(2, nil)
		defer testMesh.close()
		restarted := testMesh.backends[0]
		restarted.stopInbound()
		for index := range 20 {
			g.Expect(testMesh.call("POST", fmt.Sprint("without", index)).body).To(Equal("ok"))
		}
		defer testMesh.network.serve("a-inbound:80", restarted.proxy.Inbound())()
		reached := func(name string) (runs int) {
			for index := range 40 {
				call := fmt.Sprint(name, index)
				g.Expect(testMesh.call("POST", call).body).To(Equal("ok"))
				runs += restarted.runCount(call)
			}
			return runs
		}
		g.Expect(reached("ejected")).To(BeZero())
		testMesh.caller.UpdateEndpoints([]endpoint.Update{{
			ID: endpoint.ID{Service: serviceName, Name: "a"}, Incarnation: 2, Sequence: 1, State: endpoint.Ready, Zone: zoneName,
		}})
		g.Expect(reached("anew")).To(BeNumerically(">", 0))
	})
}

// TestCallKeepsItsConfiguration reloads the configuration between two attempts of
// a call. Both attempts must use the version that the call started with.
func TestCallKeepsItsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(1, nil)
		defer testMesh.close()
		testMesh.setHandlers(func(w http.ResponseWriter, r *http.Request) {
			testMesh.setHandlers(answerOK)
			service := *testMesh.config.Services[serviceName]
			service.Endpoints = nil
			testMesh.config.Services = map[string]*projection.Service{serviceName: &service}
			testMesh.apply()
			shedWithMarker(w, r)
		})
		g.Expect(testMesh.call("POST", "one").body).To(Equal("ok"))
		g.Expect(testMesh.call("POST", "two").header.Get("Kestrel-Error")).To(HavePrefix("step=choose"))
	})
}

func TestApplyIsAtomic(t *testing.T) {
	g := NewWithT(t)
	testMesh := proxy.New(proxy.Options{})
	valid := func(version uint64) *projection.Snapshot {
		snapshot := &projection.Snapshot{Version: version, Services: map[string]*projection.Service{"s": {Slots: 1}}}
		snapshot.Digest = snapshot.ComputeDigest()
		return snapshot
	}
	g.Expect(testMesh.Apply(valid(5))).To(Succeed())
	unresolved := valid(6)
	unresolved.Routes = map[string]*resource.RouteSpec{"r": {Service: "unknown"}}
	unresolved.Digest = unresolved.ComputeDigest()
	forged := valid(6)
	forged.Digest = "0000000000000000"
	for _, refused := range []*projection.Snapshot{valid(4), valid(5), unresolved, forged} {
		g.Expect(testMesh.Apply(refused)).NotTo(Succeed())
		version, digest := testMesh.Version()
		g.Expect(version).To(BeEquivalentTo(5))
		g.Expect(digest).To(Equal(valid(5).Digest))
	}
	g.Expect(testMesh.Apply(valid(6))).To(Succeed())
}

func TestAnnouncedEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(2, func(snapshot *projection.Snapshot) {
			service := snapshot.Services[serviceName]
			service.Endpoints = nil
			service.Selector = &resource.EndpointSelector{Labels: map[string]string{"tier": "gold"}}
		})
		defer testMesh.close()
		g.Expect(testMesh.call("POST", "none").header.Get("Kestrel-Error")).To(HavePrefix("step=choose"))
		update := endpoint.Update{
			ID: endpoint.ID{Service: serviceName, Name: "a"}, Incarnation: 1, Sequence: 1, State: endpoint.Ready,
			Zone: zoneName, Address: "a-inbound:80", Labels: map[string]string{"tier": "gold"},
		}
		steps := []struct {
			name   string
			change func(*endpoint.Update)
			usable bool
		}{
			{"wrong zone", func(u *endpoint.Update) { u.Zone = "south" }, false},
			{"wrong label", func(u *endpoint.Update) { u.Labels = nil }, false},
			{"ready", func(*endpoint.Update) {}, true},
			{"draining", func(u *endpoint.Update) { u.State = endpoint.Draining }, false},
			{"warming", func(u *endpoint.Update) { u.State = endpoint.Warming }, true},
			{"down", func(u *endpoint.Update) { u.State = endpoint.Down }, false},
		}
		for index, step := range steps {
			announced := update
			announced.Sequence = uint64(index + 1)
			step.change(&announced)
			testMesh.caller.UpdateEndpoints([]endpoint.Update{announced, update})
			want := 503
			if step.usable {
				want = 200
			}
			g.Expect(testMesh.call("POST", step.name).status).To(Equal(want), step.name)
			g.Expect(testMesh.backends[1].runCount(step.name)).To(BeZero())
		}
	})
}
