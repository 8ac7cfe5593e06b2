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

// scriptedQuota answers as it is told and notes what it was asked.
type scriptedQuota struct {
	err error
	// again is the error of every token but the first, token what is given out.
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

// TestWhoIsAboveTheLimit is refused at once and told truthfully when to come back; what nobody
// grants is refused as what cannot be served now; a token whose request did not run is given back.
func TestWhoIsAboveTheLimit(t *testing.T) {
	limited := route.Tenant{Name: "acme", Keys: []route.Key{"k"}, Rate: 3}
	unlimited := route.Tenant{Name: "acme", Keys: []route.Key{"k"}}
	cases := []struct {
		name     string
		tenant   route.Tenant
		path     string
		quota    scriptedQuota
		served   bool // a back end is there
		status   int
		wait     string
		taken    int
		returned int
	}{
		{"within the limit", limited, "/closed/", scriptedQuota{}, true, 200, "", 1, 0},
		{"due soon", limited, "/closed/", scriptedQuota{wait: time.Millisecond}, true, 200, "", 1, 0},
		{"above the limit", limited, "/closed/", scriptedQuota{err: quota.ErrLimitReached, wait: 1500 * time.Millisecond}, true, 429, "1.50", 1, 0},
		{"nobody grants", limited, "/closed/", scriptedQuota{err: quota.ErrNoGrant, wait: 50 * time.Millisecond}, true, 503, "0.05", 1, 0},
		{"an open route, with a key", limited, "/open/", scriptedQuota{}, true, 200, "", 1, 0},
		{"no limit", unlimited, "/closed/", scriptedQuota{err: quota.ErrLimitReached}, true, 200, "", 0, 0},
		{"nobody runs it", limited, "/closed/", scriptedQuota{}, false, 503, "0.15", 1, 1},
	}
	for _, played := range cases {
		t.Run(played.name, func(t *testing.T) {
			g := NewWithT(t)
			at := newArriving(t)
			handler := keyedHandler(t, &lagging{table: keyed(t, 1, played.tenant), may: true}, at)
			handler.options.Quota = &played.quota
			if !played.served {
				handler.options.View = newHandler(t, &quiet{}, present).options.View
			}
			answer := request(t, handler, played.path, http.Header{"Deadline-Ms": {"3000"}, keyHeader: {"k"}})
			g.Expect(answer.Code).To(Equal(played.status))
			g.Expect(answer.Header().Get("Retry-After")).To(Equal(played.wait))
			g.Expect(at.hops).To(HaveLen(map[bool]int{true: 1}[played.status == 200]))
			g.Expect(played.quota.taken).To(HaveLen(played.taken))
			g.Expect(played.quota.returned).To(HaveLen(played.returned))
		})
	}
}
