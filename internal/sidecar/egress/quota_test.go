package egress

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/quota"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// scriptedQuota returns scripted results and records the calls.
type scriptedQuota struct {
	err error
	// again is the error of every token but the first, token the token that is returned.
	again           error
	token           lending.Token
	wait            time.Duration
	taken, returned []string
}

func (s *scriptedQuota) Take(_ context.Context, tenant string) (lending.Token, error) {
	s.taken = append(s.taken, tenant)
	if len(s.taken) > 1 && s.again != nil {
		return lending.Token{}, s.again
	}
	token := s.token
	token.Wait = s.wait
	return token, s.err
}
func (s *scriptedQuota) TakeRetry(string) bool { return true }
func (s *scriptedQuota) Return(lending.Token)  { s.returned = append(s.returned, "token") }

// TestTenantLimit: requests above the limit are refused at once with a correct Retry-After; if
// nothing grants tokens, they are refused as unavailable; the token of a request that did not run
// is returned.
func TestTenantLimit(t *testing.T) {
	limited := route.Tenant{Name: "acme", Keys: []route.Key{"k"}, Rate: 3}
	unlimited := route.Tenant{Name: "acme", Keys: []route.Key{"k"}}
	cases := []struct {
		name     string
		tenant   route.Tenant
		path     string
		quota    scriptedQuota
		served   bool // a back end exists
		status   int
		wait     string
		taken    int
		returned int
	}{
		{"within the limit", limited, "/closed/", scriptedQuota{}, true, 200, "", 1, 0},
		{"token valid soon", limited, "/closed/", scriptedQuota{wait: time.Millisecond}, true, 200, "", 1, 0},
		{"above the limit", limited, "/closed/", scriptedQuota{err: quota.ErrLimitReached, wait: 1500 * time.Millisecond}, true, 429, "1.50", 1, 0},
		{"no granter", limited, "/closed/", scriptedQuota{err: quota.ErrNoGrant, wait: 50 * time.Millisecond}, true, 503, "0.05", 1, 0},
		{"an open route, with a key", limited, "/open/", scriptedQuota{}, true, 200, "", 1, 0},
		{"no limit", unlimited, "/closed/", scriptedQuota{err: quota.ErrLimitReached}, true, 200, "", 0, 0},
		{"no back end", limited, "/closed/", scriptedQuota{}, false, 503, "0.15", 1, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			node := newRecordingNode(t)
			handler := tenantHandler(t, &fakeFreshness{table: tenantTable(t, 1, test.tenant), canAdvance: true}, node)
			handler.options.Quota = &test.quota
			if !test.served {
				handler.options.View = newHandler(t, &fakeObserver{}, probeOK).options.View
			}
			answer := request(t, handler, test.path, http.Header{"Deadline-Ms": {"3000"}, keyHeader: {"k"}})
			g.Expect(answer.Code).To(Equal(test.status))
			g.Expect(answer.Header().Get("Retry-After")).To(Equal(test.wait))
			g.Expect(node.hops).To(HaveLen(map[bool]int{true: 1}[test.status == 200]))
			g.Expect(test.quota.taken).To(HaveLen(test.taken))
			g.Expect(test.quota.returned).To(HaveLen(test.returned))
		})
	}
}
