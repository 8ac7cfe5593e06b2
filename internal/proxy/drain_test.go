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

// connect spreads the back ends' states to the caller's proxy after a delay.
func (m *mesh) connect(delay time.Duration) {
	for _, served := range m.backends {
		served.proxy.ObserveBackend(func(update endpoint.Update) {
			time.AfterFunc(delay, func() { m.caller.UpdateEndpoints([]endpoint.Update{update}) })
		})
	}
}

// TestPlannedStopCutsNothingOff drains one of two back ends under calls, with
// announcements that take a second to arrive.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		running := newMesh(2, nil)
		defer running.close()
		ctx, cancel := context.WithCancel(t.Context())
		for _, served := range running.backends {
			go served.proxy.Run(ctx)
		}
		defer func() { cancel(); synctest.Wait() }()
		running.connect(time.Second)
		time.Sleep(5 * time.Second)
		leaving := running.backends[0]
		release := make(chan struct{})
		running.handleAll(holding(release))
		var held []<-chan result
		for index := range 8 {
			held = append(held, running.start(running.request("POST", fmt.Sprint("held", index))))
		}
		synctest.Wait()
		_, inFlight := leaving.proxy.InFlight()
		g.Expect(inFlight).To(Equal(4))
		drained := make(chan error, 1)
		drainStart := time.Now()
		go func() { drained <- leaving.proxy.Drain(ctx) }()
		time.Sleep(1800 * time.Millisecond)
		synctest.Wait()
		g.Expect(drained).NotTo(Receive())
		close(release)
		for _, done := range held {
			g.Expect((<-done).body).To(Equal("ok"))
		}
		g.Expect(<-drained).To(Succeed())
		g.Expect(time.Since(drainStart)).To(Equal(1800 * time.Millisecond))
		leaving.stop()
		for index := range 20 {
			call := fmt.Sprint("late", index)
			g.Expect(running.call("POST", call).body).To(Equal("ok"))
			g.Expect(leaving.ran(call)).To(BeZero())
		}
	})
}

// TestDrainRacingKeepAlive: a request on a connection that was idle when the
// drain began is run, or refused as not run and moved on, never lost.
func TestDrainRacingKeepAlive(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second, 1499 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				running := newMesh(1, nil)
				defer running.close()
				g.Expect(running.call("POST", "warm").body).To(Equal("ok"))
				leaving := running.backends[0]
				drained := make(chan error, 1)
				go func() { drained <- leaving.proxy.DrainBackend(t.Context()) }()
				time.Sleep(after)
				synctest.Wait()
				got := running.call("POST", "racing")
				if after < proxy.DefaultAnnouncePeriod {
					g.Expect(got.body).To(Equal("ok"))
				} else {
					g.Expect(got.status).To(Equal(503))
					g.Expect(got.header.Get("Kestrel-Outcome")).To(Equal("not-run"))
					g.Expect(leaving.ran("racing")).To(BeZero())
				}
				g.Expect(<-drained).To(Succeed())
				leaving.proxy.ResumeBackend()
				g.Expect(running.call("POST", "back").body).To(Equal("ok"))
			})
		})
	}
}

// TestBackendThatSaysItIsLeaving: its own word stops new work, first by the
// announcement, then at its proxy for callers that missed it.
func TestBackendThatSaysItIsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		running := newMesh(1, nil)
		defer running.close()
		var leaving atomic.Bool
		running.handleAll(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/health" && leaving.Load() {
				w.WriteHeader(503)
				_, _ = w.Write([]byte(`{"state":"draining"}`))
				return
			}
			answerOK(w, r)
		})
		served := running.backends[0]
		var states []endpoint.State
		served.proxy.ObserveBackend(func(update endpoint.Update) { states = append(states, update.State) })
		ctx, cancel := context.WithCancel(t.Context())
		go served.proxy.Run(ctx)
		defer func() { cancel(); synctest.Wait() }()
		time.Sleep(20 * time.Second)
		leaving.Store(true)
		time.Sleep(time.Second)
		g.Expect(running.call("POST", "early").body).To(Equal("ok"))
		time.Sleep(time.Second)
		late := running.call("POST", "late")
		g.Expect(late.header.Get("Kestrel-Error")).To(HavePrefix("step=drain"))
		g.Expect(served.ran("late")).To(BeZero())
		leaving.Store(false)
		time.Sleep(time.Second)
		g.Expect(running.call("POST", "back").body).To(Equal("ok"))
		g.Expect(states).To(Equal([]endpoint.State{endpoint.Down, endpoint.Warming, endpoint.Ready, endpoint.Draining, endpoint.Warming}))
	})
}

// TestHurriedCallersDoNotEjectEndpoints: a caller that allows too little time
// must not take an endpoint away from the others.
func TestHurriedCallersDoNotEjectEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		running := newMesh(2, nil)
		defer running.close()
		slow := running.backends[0]
		slow.handle(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			answerOK(w, r)
		})
		for index := range 40 {
			hurried := running.request("POST", fmt.Sprint("hurried", index))
			hurried.Header.Set("Kestrel-Deadline-Ms", "50")
			running.do(hurried)
		}
		for index := range 20 {
			running.call("POST", fmt.Sprint("patient", index))
		}
		patient := 0
		for index := range 20 {
			patient += slow.ran(fmt.Sprint("patient", index))
		}
		g.Expect(patient).To(BeNumerically(">", 0))
	})
}

func TestForcedStopSaysWhatItCutsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		running := newMesh(1, nil)
		defer running.close()
		release := make(chan struct{})
		running.handleAll(holding(release))
		held := running.start(running.request("POST", "one"))
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := running.backends[0].proxy.Drain(ctx)
		var cut *proxy.ForcedStopError
		g.Expect(err).To(BeAssignableToTypeOf(cut))
		g.Expect(err.(*proxy.ForcedStopError).Inbound).To(Equal(1))
		close(release)
		g.Expect((<-held).body).To(Equal("ok"))
	})
}

func TestReloadDuringACall(t *testing.T) {
	cases := []struct {
		name   string
		change func(*projection.Snapshot)
		status int
		step   string
	}{
		{"route removed", func(view *projection.Snapshot) { view.Routes = nil }, 404, "match"},
		{"endpoints removed", func(view *projection.Snapshot) { view.Services[serviceName].Endpoints = nil }, 503, "choose"},
		{"zone no longer allowed", func(view *projection.Snapshot) { view.Services[serviceName].AllowedZones = []string{"south"} }, 503, "choose"},
	}
	for _, reload := range cases {
		t.Run(reload.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				running := newMesh(2, nil)
				defer running.close()
				release := make(chan struct{})
				running.handleAll(holding(release))
				held := running.start(running.request("POST", "held"))
				synctest.Wait()
				service := *running.view.Services[serviceName]
				running.view.Services = map[string]*projection.Service{serviceName: &service}
				reload.change(&running.view)
				running.apply()
				got := running.call("POST", "new")
				g.Expect(got.status).To(Equal(reload.status))
				g.Expect(got.header.Get("Kestrel-Outcome")).To(Equal("not-run"))
				g.Expect(got.header.Get("Kestrel-Error")).To(HavePrefix("step=" + reload.step))
				close(release)
				g.Expect((<-held).body).To(Equal("ok"))
				g.Expect(running.ran("new")).To(BeZero())
			})
		})
	}
}

// TestAnEndpointThatStartedAnewIsUsedAtOnce: its predecessor's failures do not
// count against it.
func TestAnEndpointThatStartedAnewIsUsedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		running := newMesh(2, nil)
		defer running.close()
		died := running.backends[0]
		died.stopInbound()
		for index := range 20 {
			g.Expect(running.call("POST", fmt.Sprint("without", index)).body).To(Equal("ok"))
		}
		defer running.network.serve("a-inbound:80", died.proxy.Inbound())()
		reached := func(name string) (runs int) {
			for index := range 40 {
				call := fmt.Sprint(name, index)
				g.Expect(running.call("POST", call).body).To(Equal("ok"))
				runs += died.ran(call)
			}
			return runs
		}
		g.Expect(reached("ejected")).To(BeZero())
		running.caller.UpdateEndpoints([]endpoint.Update{{
			ID: endpoint.ID{Service: serviceName, Name: "a"}, Incarnation: 2, Sequence: 1, State: endpoint.Ready, Zone: zoneName,
		}})
		g.Expect(reached("anew")).To(BeNumerically(">", 0))
	})
}

// TestACallKeepsItsConfiguration: a reload between two attempts of a call does
// not mix two versions.
func TestACallKeepsItsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		running := newMesh(1, nil)
		defer running.close()
		running.handleAll(func(w http.ResponseWriter, r *http.Request) {
			running.handleAll(answerOK)
			service := *running.view.Services[serviceName]
			service.Endpoints = nil
			running.view.Services = map[string]*projection.Service{serviceName: &service}
			running.apply()
			shedMarked(w, r)
		})
		g.Expect(running.call("POST", "one").body).To(Equal("ok"))
		g.Expect(running.call("POST", "two").header.Get("Kestrel-Error")).To(HavePrefix("step=choose"))
	})
}

func TestApplyIsAllOrNothing(t *testing.T) {
	g := NewWithT(t)
	running := proxy.New(proxy.Options{})
	valid := func(version uint64) *projection.Snapshot {
		snapshot := &projection.Snapshot{Version: version, Services: map[string]*projection.Service{"s": {Slots: 1}}}
		snapshot.Digest = snapshot.ComputeDigest()
		return snapshot
	}
	g.Expect(running.Apply(valid(5))).To(Succeed())
	open := valid(6)
	open.Routes = map[string]*resource.RouteSpec{"r": {Service: "unknown"}}
	open.Digest = open.ComputeDigest()
	forged := valid(6)
	forged.Digest = "0000000000000000"
	for _, refused := range []*projection.Snapshot{valid(4), valid(5), open, forged} {
		g.Expect(running.Apply(refused)).NotTo(Succeed())
		version, digest := running.Version()
		g.Expect(version).To(BeEquivalentTo(5))
		g.Expect(digest).To(Equal(valid(5).Digest))
	}
	g.Expect(running.Apply(valid(6))).To(Succeed())
}

func TestAnnouncedEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		running := newMesh(2, func(view *projection.Snapshot) {
			service := view.Services[serviceName]
			service.Endpoints = nil
			service.Selector = &resource.EndpointSelector{Labels: map[string]string{"tier": "gold"}}
		})
		defer running.close()
		g.Expect(running.call("POST", "none").header.Get("Kestrel-Error")).To(HavePrefix("step=choose"))
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
			running.caller.UpdateEndpoints([]endpoint.Update{announced, update})
			want := 503
			if step.usable {
				want = 200
			}
			g.Expect(running.call("POST", step.name).status).To(Equal(want), step.name)
			g.Expect(running.backends[1].ran(step.name)).To(BeZero())
		}
	})
}
