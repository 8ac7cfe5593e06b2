package machines_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/membership/machines"
	"github.com/kestrelstream/kestrelstream/internal/standin/machinelist"
)

func machine(name string, condition machines.Condition, started uint64) machines.Machine {
	return machines.Machine{Name: name, Condition: condition, Started: started}
}

var _ = DescribeTable("Tracker reports a leaving machine once",
	func(first, second []machines.Machine, wantFirst, wantSecond int) {
		tracker := machines.NewTracker()
		Expect(tracker.Observe(machines.List{Machines: first})).To(HaveLen(wantFirst))
		Expect(tracker.Observe(machines.List{Machines: second})).To(HaveLen(wantSecond))
	},
	Entry("live is never news",
		[]machines.Machine{machine("a", machines.Live, 1)}, []machines.Machine{machine("a", machines.Live, 2)}, 0, 0),
	Entry("leaving twice is news once",
		[]machines.Machine{machine("a", machines.Leaving, 1)}, []machines.Machine{machine("a", machines.Leaving, 1)}, 1, 0),
	Entry("missing from the list says nothing",
		[]machines.Machine{machine("a", machines.Leaving, 1)}, nil, 1, 0),
	Entry("a successor that leaves is news again",
		[]machines.Machine{machine("a", machines.Leaving, 1)}, []machines.Machine{machine("a", machines.Leaving, 2)}, 1, 1),
	Entry("an old line about a predecessor is no news",
		[]machines.Machine{machine("a", machines.Leaving, 2)}, []machines.Machine{machine("a", machines.Leaving, 1)}, 1, 0),
	Entry("the condition is unknown",
		[]machines.Machine{machine("a", "gone", 1)}, []machines.Machine{machine("a", machines.Leaving, 1)}, 0, 1),
)

// handlerTransport answers requests by a handler, without a network.
type handlerTransport struct{ handler http.Handler }

func (t handlerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// TestPollerFollowsALaggingList runs the poller against the stand-in on a
// virtual clock: an outage and a list cut short change nothing.
func TestPollerFollowsALaggingList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := machinelist.New(2*time.Second, nil)
		served := machinelist.NewHandler(list)
		var outage http.Handler
		handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if outage != nil {
				outage.ServeHTTP(writer, request)
				return
			}
			served.ServeHTTP(writer, request)
		})
		var leaving []string
		poller := &machines.Poller{
			Address: "127.0.0.1:1", Interval: time.Second, Logger: zap.NewNop(),
			Client:  &http.Client{Transport: handlerTransport{handler}},
			Leaving: func(_ context.Context, machine machines.Machine) { leaving = append(leaving, machine.Name) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = poller.Run(ctx) }()

		steps := []struct {
			name   string
			action func()
			wait   time.Duration
			expect string
		}{
			{"a change shows only after the lag", func() { list.Set(machine("a", machines.Leaving, 1)) }, 1500 * time.Millisecond, ""},
			{"then it is news", func() {}, 2 * time.Second, "a"},
			{"an outage changes nothing", func() { outage = http.NotFoundHandler() }, 5 * time.Second, "a"},
			{"a list cut short is refused whole", func() {
				outage = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
					_, _ = writer.Write([]byte(`{"machines":[{"name":"b","condition":"leaving"}`))
				})
			}, 5 * time.Second, "a"},
			{"it goes on after the outage", func() { outage = nil; list.Set(machine("c", machines.Leaving, 1)) }, 5 * time.Second, "a,c"},
		}
		for _, step := range steps {
			step.action()
			time.Sleep(step.wait)
			synctest.Wait()
			if got := strings.Join(leaving, ","); got != step.expect {
				t.Errorf("%s: leaving %q, expected %q", step.name, got, step.expect)
			}
		}
	})
}
