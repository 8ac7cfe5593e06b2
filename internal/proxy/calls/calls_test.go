package calls_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kestrelstream/kestrelstream/internal/proxy/calls"
)

func TestRecordAndForget(t *testing.T) {
	g := NewWithT(t)
	deduplicator := calls.NewDeduplicator(64)
	now := time.Unix(1000, 0)
	until := now.Add(time.Second)
	g.Expect(deduplicator.Record(now, "one", until)).To(Succeed())
	g.Expect(deduplicator.Record(now, "one", until)).To(MatchError(calls.ErrDuplicate))
	deduplicator.Forget("one")
	g.Expect(deduplicator.Record(now, "one", until)).To(Succeed())
	g.Expect(deduplicator.Record(until, "one", until)).To(MatchError(calls.ErrDuplicate))
}

// TestRetentionIsHonoured compares the Deduplicator with an unbounded map: a call is never
// recorded twice within its retention, and only recorded calls are duplicates.
func TestRetentionIsHonoured(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deduplicator := calls.NewDeduplicator(64)
		now := time.Unix(1000, 0)
		held := map[string]time.Time{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "passed")) * time.Millisecond)
			call := fmt.Sprint(rapid.IntRange(0, 100).Draw(t, "call"))
			if rapid.IntRange(0, 9).Draw(t, "action") == 0 {
				deduplicator.Forget(call)
				delete(held, call)
				continue
			}
			until := now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "retention")) * time.Millisecond)
			err := deduplicator.Record(now, call, until)
			retained, known := held[call]
			if err == nil && known && now.Before(retained) {
				t.Fatalf("call %s was recorded twice within its retention", call)
			}
			if errors.Is(err, calls.ErrDuplicate) && !known {
				t.Fatalf("call %s was never recorded", call)
			}
			if err == nil {
				held[call] = until
			}
		}
	})
}

func TestFullDeduplicatorRefusesUntilRetentionEnds(t *testing.T) {
	g := NewWithT(t)
	deduplicator := calls.NewDeduplicator(64)
	now := time.Unix(1000, 0)
	refused := 0
	for index := range 1000 {
		if err := deduplicator.Record(now, fmt.Sprint(index), now.Add(time.Second)); err != nil {
			g.Expect(err).To(MatchError(calls.ErrFull))
			refused++
		}
	}
	g.Expect(refused).To(BeNumerically(">=", 1000-64))
	for index := range 1000 {
		g.Expect(deduplicator.Record(now.Add(time.Second), fmt.Sprint("later", index), now.Add(time.Second))).To(Succeed())
	}
}

func BenchmarkRecord(b *testing.B) {
	deduplicator := calls.NewDeduplicator(1 << 16)
	names := make([]string, 1<<17)
	for index := range names {
		names[index] = fmt.Sprint("call-", index)
	}
	now, index := time.Unix(1000, 0), 0
	b.ReportAllocs()
	for b.Loop() {
		index = (index + 1) & (1<<17 - 1)
		if err := deduplicator.Record(now, names[index], now); err != nil {
			b.Fatal(err)
		}
	}
}
