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
	Entry("live is never reported",
		[]machines.Machine{machine("a", machines.Live, 1)}, []machines.Machine{machine("a", machines.Live, 2)}, 0, 0),
	Entry("leaving in two lists is reported once",
		[]machines.Machine{machine("a", machines.Leaving, 1)}, []machines.Machine{machine("a", machines.Leaving, 1)}, 1, 0),
	Entry("absence from the list has no effect",
		[]machines.Machine{machine("a", machines.Leaving, 1)}, nil, 1, 0),
	Entry("a leaving successor is reported again",
		[]machines.Machine{machine("a", machines.Leaving, 1)}, []machines.Machine{machine("a", machines.Leaving, 2)}, 1, 1),
	Entry("an outdated entry of a predecessor is not reported",
		[]machines.Machine{machine("a", machines.Leaving, 2)}, []machines.Machine{machine("a", machines.Leaving, 1)}, 1, 0),
	Entry("an unknown condition is ignored",
		[]machines.Machine{machine("a", "gone", 1)}, []machines.Machine{machine("a", machines.Leaving, 1)}, 0, 1),
)

// handlerTransport is a RoundTripper that calls a handler directly, without a
// network.
type handlerTransport struct{ handler http.Handler }

func (t handlerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// TestPollerFollowsALaggingList runs the poller against a simulated platform on a
// virtual clock. It guards against reporting machines early or twice, and against
// an outage or a truncated list changing the tracked state.
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
			{"a change is not visible before the lag has elapsed", func() { list.Set(machine("a", machines.Leaving, 1)) }, 1500 * time.Millisecond, ""},
			{"the change is reported after the lag", func() {}, 2 * time.Second, "a"},
			{"an outage has no effect", func() { outage = http.NotFoundHandler() }, 5 * time.Second, "a"},
			{"a truncated list is rejected as a whole", func() {
				outage = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
					_, _ = writer.Write([]byte(`{"machines":[{"name":"b","condition":"leaving"}`))
				})
			}, 5 * time.Second, "a"},
			{"polling continues after the outage", func() { outage = nil; list.Set(machine("c", machines.Leaving, 1)) }, 5 * time.Second, "a,c"},
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
