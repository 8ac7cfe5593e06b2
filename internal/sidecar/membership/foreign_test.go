package membership_test

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/membership"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/store"
	"github.com/kestrelstream/kestrelstream/internal/store/memory"
)

// TestForeignItems checks that invalid items under the nodes' prefix add no node and do not affect
// the others, and that one under the node's own key is replaced.
func TestForeignItems(t *testing.T) {
	const whole = `{"node":"NAME","epoch":3,"counter":1,"address":"a:1","peerAddress":"a:2","zone":"z",` +
		`"endpoint":{"id":"i","service":"s","slots":4,"state":"ready","sequence":9}}`
	cases := []struct{ name, was, is string }{
		{"invalid bytes", whole, "\xff\xfe\x00"},
		{"nothing", whole, ""},
		{"null", whole, "null"},
		{"a list", whole, "[]"},
		{"name of another node", `"node":"NAME"`, `"node":"another"`},
		{"no node", `"node":"NAME",`, ""},
		{"node of wrong type", `"node":"NAME"`, `"node":7`},
		{"epoch of wrong type", `"epoch":3`, `"epoch":"3"`},
		{"epoch above the maximum", `"epoch":3`, `"epoch":18446744073709551615`},
		{"no zone", `"zone":"z",`, ""},
		{"no address", `"address":"a:1",`, ""},
		{"address without port", `"address":"a:1"`, `"address":"a"`},
		{"no peer address", `"peerAddress":"a:2",`, ""},
		{"no id", `"id":"i",`, ""},
		{"no service", `"service":"s",`, ""},
		{"unknown state", `"ready"`, `"resting"`},
		{"no state", `,"state":"ready"`, ""},
		{"no slots", `"slots":4,`, ""},
		{"negative slots", `"slots":4`, `"slots":-4`},
		{"sequence of wrong type", `"sequence":9`, `"sequence":{}`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				target := &countingStore{Store: memory.New(memory.Options{})}
				write := func(node, value string) {
					_, err := target.Store.CompareAndSwap(t.Context(), store.Swap{Key: membership.KeyPrefix + node, Value: []byte(value)})
					g.Expect(err).NotTo(HaveOccurred())
				}
				g.Expect(whole).To(ContainSubstring(tc.was))
				foreign := strings.Replace(whole, tc.was, tc.is, 1)
				write("aaa", strings.ReplaceAll(foreign, "NAME", "aaa"))
				write("self", strings.ReplaceAll(foreign, "NAME", "self"))
				write("zzz", strings.ReplaceAll(whole, "NAME", "zzz"))
				node := startNode(t, target, "self", false, true)
				node.report("own", roster.Ready, 1)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				g.Expect(node.members.View().Record("aaa")).To(BeNil())
				g.Expect(node.members.View().Record("zzz")).NotTo(BeNil(), "other items are still read")
				g.Expect(node.members.Own().Endpoint.ID).To(Equal("own"))
				item, err := target.Store.Get(t.Context(), membership.KeyPrefix+"self")
				g.Expect(err).NotTo(HaveOccurred())
				kept := &roster.Record{}
				g.Expect(json.Unmarshal(item.Value, kept)).To(Succeed())
				g.Expect(kept.Endpoint.ID).To(Equal("own"), "the own key is replaced")
				node.end()
			})
		})
	}
}
