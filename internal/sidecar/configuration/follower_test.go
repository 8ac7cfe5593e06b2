package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

const configurationKey = "configuration"

// compactedStore holds one key that was written long ago. A watch that begins
// before its history is refused. It is used by one goroutine at a time.
type compactedStore struct {
	written, history, now uint64
	reads, watches        int
	running               *openWatch
}

func (s *compactedStore) Get(ctx context.Context, key string) (store.KeyValue, error) {
	found, _, err := s.GetAt(ctx, key)
	return found, err
}

func (s *compactedStore) GetAt(context.Context, string) (store.KeyValue, uint64, error) {
	s.reads++
	if s.written == 0 {
		return store.KeyValue{}, 0, store.ErrNotFound
	}
	return store.KeyValue{Key: configurationKey, Value: fmt.Append(nil, s.written), Revision: s.written}, s.now, nil
}

func (s *compactedStore) Range(context.Context, string, string, int) ([]store.KeyValue, uint64, error) {
	s.reads++
	if s.written == 0 {
		return nil, s.now, nil
	}
	return []store.KeyValue{{Key: configurationKey, Value: fmt.Append(nil, s.written), Revision: s.written}}, s.now, nil
}

func (s *compactedStore) Watch(_ context.Context, _ string, after uint64) (store.Watch, error) {
	s.watches++
	if after < s.history {
		return nil, store.ErrCompacted
	}
	s.running = &openWatch{events: make(chan store.Event, 1)}
	return s.running, nil
}

// openWatch delivers the events that the test sends.
type openWatch struct{ events chan store.Event }

func (w *openWatch) Events() <-chan store.Event { return w.events }
func (w *openWatch) Err() error                 { return nil }
func (w *openWatch) Close()                     {}

// decodeVersion decodes the value as the document's version.
func decodeVersion(raw []byte) (*route.Document, []string, error) {
	document := &route.Document{}
	_, err := fmt.Sscan(string(raw), &document.Version)
	return document, nil, err
}

// follow runs Follow for a node that is a reader; the channel is closed when it returns.
func follow(ctx context.Context, reader store.Reader, keeper *configuration.Keeper, logger *zap.Logger) <-chan struct{} {
	keys := configuration.Keyspace{Key: configurationKey, Prefix: configurationKey}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		configuration.Follow(ctx, reader, keys, keeper, func() bool { return true }, logger)
	}()
	return ended
}

// TestFollowWatchesOldConfiguration guards against reading a key again and again
// because it was not written within the store's history.
func TestFollowWatchesOldConfiguration(t *testing.T) {
	for name, written := range map[string]uint64{"written before the history": 5, "never written": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, end := context.WithCancel(t.Context())
				held := &compactedStore{written: written, history: 50, now: 100}
				keeper := configuration.NewKeeper(decodeVersion, zap.NewNop())
				followed := follow(ctx, held, keeper, zap.NewNop())
				time.Sleep(10 * time.Second)
				synctest.Wait()
				g.Expect(keeper.Version()).To(Equal(written))
				g.Expect(held.reads).To(Equal(1))
				g.Expect(held.watches).To(Equal(1))
				held.running.events <- store.Event{KeyValue: store.KeyValue{Key: configurationKey, Value: []byte("101"), Revision: 101}}
				synctest.Wait()
				g.Expect(keeper.Version()).To(BeEquivalentTo(101))
				end()
				close(held.running.events)
				<-followed
			})
		})
	}
}

// refusingStore refuses every call.
type refusingStore struct {
	compactedStore
	calls int
}

func (s *refusingStore) refuse() error {
	s.calls++
	return store.ErrRateLimited
}

func (s *refusingStore) GetAt(context.Context, string) (store.KeyValue, uint64, error) {
	return store.KeyValue{}, 0, s.refuse()
}

func (s *refusingStore) Range(context.Context, string, string, int) ([]store.KeyValue, uint64, error) {
	return nil, 0, s.refuse()
}

// TestFollowBacksOffWhenRefused checks that a node that has a configuration calls a
// store that refuses it at most every one and a half seconds in the end; one without a
// configuration calls more often, since it cannot serve requests.
func TestFollowBacksOffWhenRefused(t *testing.T) {
	for name, held := range map[string]struct {
		version     string
		least, most int
	}{"with a configuration": {"1", 20, 45}, "without": {"", 75, 160}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, end := context.WithCancel(t.Context())
				refusing := &refusingStore{}
				keeper := configuration.NewKeeper(decodeVersion, zap.NewNop())
				if held.version != "" {
					g.Expect(keeper.Offer([]byte(held.version), configuration.SourcePeer)).To(Succeed())
				}
				followed := follow(ctx, refusing, keeper, zap.NewNop())
				time.Sleep(time.Minute)
				end()
				<-followed
				g.Expect(refusing.calls).To(BeNumerically(">=", held.least))
				g.Expect(refusing.calls).To(BeNumerically("<=", held.most))
			})
		})
	}
}

// TestPanickingDocumentIsRefused checks that a document that causes a panic is refused like one that
// cannot be decoded, since every node reads it, and reads it again after a restart. The previous one
// stays in force, and later ones are accepted.
func TestPanickingDocumentIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, end := context.WithCancel(t.Context())
		const harmful = 7
		decode := func(raw []byte) (*route.Document, []string, error) {
			document, notes, err := decodeVersion(raw)
			if document.Version == harmful {
				panic("decoder failure")
			}
			return document, notes, err
		}
		held := &compactedStore{written: 5, now: 100}
		keeper := configuration.NewKeeper(decode, zap.NewNop())
		orders := 0
		keys := configuration.Keyspace{Key: configurationKey, Prefix: configurationKey, OnOther: func(store.KeyValue) {
			orders++
			panic("order handler failure")
		}}
		go configuration.Follow(ctx, held, keys, keeper, func() bool { return true }, zap.NewNop())
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(keeper.Version()).To(BeEquivalentTo(5))

		sendEvent := func(key string, version int) {
			held.running.events <- store.Event{KeyValue: store.KeyValue{Key: key, Value: fmt.Append(nil, version), Revision: 101}}
			synctest.Wait()
		}
		sendEvent(configurationKey, harmful)
		g.Expect(keeper.Version()).To(BeEquivalentTo(5))
		sendEvent(configurationKey+"/order", 1)
		g.Expect(orders).To(Equal(1))
		sendEvent(configurationKey, harmful+1)
		g.Expect(keeper.Version()).To(BeEquivalentTo(harmful + 1))
		end()
		close(held.running.events)
	})
}

// TestStoreAnswersProveFreshness checks that a read, and the progress that a watch reports, prove
// that the node is up to date, unless a document among them was refused.
func TestStoreAnswersProveFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, end := context.WithCancel(t.Context())
		decode := func(raw []byte) (*route.Document, []string, error) {
			document, notes, err := decodeVersion(raw)
			if document.Version == 9 {
				return nil, nil, errors.New("cannot be read")
			}
			return document, notes, err
		}
		held := &compactedStore{written: 5, now: 100}
		keeper := configuration.NewKeeper(decode, zap.NewNop())
		go configuration.Follow(ctx, held, configuration.Keyspace{Key: configurationKey, Prefix: configurationKey}, keeper, func() bool { return true }, zap.NewNop())
		synctest.Wait()
		expectAge := func(want time.Duration) {
			synctest.Wait()
			age, proven := keeper.ProofAge()
			g.Expect(proven).To(BeTrue())
			g.Expect(age).To(Equal(want))
		}
		expectAge(0)
		time.Sleep(3 * time.Second)
		expectAge(3 * time.Second)
		held.running.events <- store.Event{Current: time.Now().Add(-time.Second)}
		expectAge(time.Second)
		sendVersion := func(version int, current time.Time) {
			held.running.events <- store.Event{
				KeyValue: store.KeyValue{Key: configurationKey, Value: fmt.Append(nil, version), Revision: 101}, Current: current,
			}
		}
		sendVersion(7, time.Now())
		expectAge(0)
		g.Expect(keeper.Version()).To(BeEquivalentTo(7))
		time.Sleep(time.Second)
		sendVersion(9, time.Now())
		expectAge(time.Second)
		held.running.events <- store.Event{Current: time.Now()}
		expectAge(time.Second)
		end()
		close(held.running.events)
	})
}

// endingStore answers reads, except while it is unavailable, and ends each watch with an error after
// watchTime.
type endingStore struct {
	compactedStore
	unavailable atomic.Bool
}

func (s *endingStore) Range(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error) {
	if s.unavailable.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return s.compactedStore.Range(ctx, prefix, from, limit)
}

func (s *endingStore) Watch(context.Context, string, uint64) (store.Watch, error) {
	watch := &endedWatch{openWatch{events: make(chan store.Event)}}
	time.AfterFunc(watchTime, func() { close(watch.events) })
	return watch, nil
}

// watchTime is the duration of a watch of an endingStore.
const watchTime = 20 * time.Second

// endedWatch ends with an error.
type endedWatch struct{ openWatch }

func (w *endedWatch) Err() error { return store.ErrUnavailable }

// TestStoreRecoveryIsLogged checks that the recovery of the store is logged when it answers, not
// when the next watch ends.
func TestStoreRecoveryIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, end := context.WithCancel(t.Context())
		core, logged := observer.New(zap.InfoLevel)
		held := &endingStore{compactedStore: compactedStore{written: 5, now: 100}}
		keeper := configuration.NewKeeper(decodeVersion, zap.NewNop())
		followed := follow(ctx, held, keeper, zap.New(core))
		time.Sleep(19 * time.Second)
		held.unavailable.Store(true)
		time.Sleep(10 * time.Second)
		g.Expect(logged.FilterMessage("store lost").Len()).To(Equal(1))
		g.Expect(logged.FilterMessage("store regained").Len()).To(BeZero())
		held.unavailable.Store(false)
		time.Sleep(5 * time.Second)
		g.Expect(logged.FilterMessage("store regained").Len()).To(Equal(1))
		end()
		time.Sleep(time.Minute)
		<-followed
	})
}

// TestFollowRestartsEndedWatchAtOnce checks that a reader whose reads are answered reads again at
// once after its watch ends, however often watches ended before.
func TestFollowRestartsEndedWatchAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, end := context.WithCancel(t.Context())
		held := &endingStore{compactedStore: compactedStore{written: 5, now: 100}}
		keeper := configuration.NewKeeper(decodeVersion, zap.NewNop())
		followed := follow(ctx, held, keeper, zap.NewNop())
		const watches, slack = 10, time.Second
		time.Sleep(watches*watchTime + slack)
		synctest.Wait()
		g.Expect(held.reads).To(Equal(watches + 1))
		g.Expect(keeper.UpToDateWithin(slack)).To(BeTrue())
		end()
		time.Sleep(time.Minute)
		<-followed
	})
}

// watchlessStore answers reads and refuses watches.
type watchlessStore struct{ compactedStore }

func (s *watchlessStore) Watch(context.Context, string, uint64) (store.Watch, error) {
	return nil, store.ErrRateLimited
}

// TestFollowBacksOffWhenWatchesAreRefused checks that a reader whose watches are refused pauses
// between reads, although the reads are answered.
func TestFollowBacksOffWhenWatchesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, end := context.WithCancel(t.Context())
		held := &watchlessStore{compactedStore{written: 5, now: 100}}
		keeper := configuration.NewKeeper(decodeVersion, zap.NewNop())
		followed := follow(ctx, held, keeper, zap.NewNop())
		time.Sleep(time.Minute)
		end()
		<-followed
		g.Expect(held.reads).To(BeNumerically("<=", 45))
	})
}
