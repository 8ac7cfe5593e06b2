package egress

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// TestTargetWithoutBackEnds: requests for a target service without back ends are refused as not
// run, and not moved to the route's other targets.
func TestTargetWithoutBackEnds(t *testing.T) {
	g := NewWithT(t)
	handler := newHandler(t, &fakeObserver{}, probeOK, newPeer(t, answerOK))
	table, err := route.Compile(&route.Document{
		Version: 2,
		Routes: []route.Route{{
			Name: "parts", Host: "h", PathPrefix: "/parts/", Repeatable: true, Attempts: 2,
			Targets: []route.Target{{Service: "s", Weight: 1}, {Service: "empty", Weight: 1}},
		}},
		Services: []route.Service{{Name: "s"}, {Name: "empty"}},
	}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	handler.options.Table = func() *route.Table { return table }
	statuses := map[int]int{}
	for range 100 {
		request := httptest.NewRequest(http.MethodGet, "/parts/1", nil)
		request.Host = "h"
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		statuses[recorder.Code]++
	}
	g.Expect(statuses[http.StatusOK]).To(BeNumerically("~", 50, 2))
	g.Expect(statuses[http.StatusServiceUnavailable]).To(BeNumerically("~", 50, 2))
}

// TestZoneLoadsNeedOverloadControl: without overload control no zone loads are kept, and none
// affect the choice.
func TestZoneLoadsNeedOverloadControl(t *testing.T) {
	for _, competes := range []bool{false, true} {
		g := NewWithT(t)
		handler := newHandler(t, &fakeObserver{}, probeOK, newPeer(t, answerOK))
		handler.options.Contended = func() bool { return competes }
		for range 5 {
			request := httptest.NewRequest(http.MethodGet, "/safe/1", nil)
			request.Host = "h"
			handler.ServeHTTP(httptest.NewRecorder(), request)
		}
		loads := handler.ZoneLoads(time.Now())
		if !competes {
			g.Expect(loads).To(BeEmpty())
			continue
		}
		g.Expect(loads).To(HaveLen(1))
		g.Expect(loads[0].Service).To(Equal("s"))
		g.Expect(loads[0].Sent).To(BeNumerically(">=", 5))
	}
}

// TestTransferTime: a large body takes time on the link of the machine that receives it; a short
// one and one of unknown length do not.
func TestTransferTime(t *testing.T) {
	cases := []struct {
		name   string
		length int64
		link   int
		want   time.Duration
	}{
		{"a slow link", 62500, 10, 50 * time.Millisecond},
		{"a fast link", 62500, 200, 2500 * time.Microsecond},
		{"a link of unknown speed counts as a fast one", 62500, 0, 500 * time.Microsecond},
		{"an implausible length", 1 << 62, 10, maxTransferTime},
		{"an implausible speed", 62500, 1 << 60, 0},
		{"a short body", 4000, 10, 0},
		{"a body of unknown length", -1, 10, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			sending := &call{request: &http.Request{ContentLength: test.length}}
			g.Expect(sending.transferTime(&roster.Record{Link: test.link})).To(Equal(test.want))
		})
	}
}
