// Package configuration keeps the configuration in force on a node. It comes
// from a document that someone else commits whole, read from the store or, when
// the store does not answer this node, from a peer that has it.
package configuration

import (
	"errors"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/encoded"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// Decoder reads a committed document. Notes name what it left out.
type Decoder func(raw []byte) (document *route.Document, notes []string, err error)

// Source says how a document came to the node.
type Source string

// The sources of documents.
const (
	// SourceWatch: the store told by itself.
	SourceWatch Source = "watch"
	// SourceRead: the store was asked anew.
	SourceRead Source = "read"
	// SourcePeer: another node had it.
	SourcePeer Source = "peer"
)

// Keeper holds the table in force. Versions only rise.
type Keeper struct {
	decode Decoder
	logger *zap.Logger
	held   atomic.Pointer[held]
	// proof is when the node was last known to be level.
	proof proof

	mutex     sync.Mutex // serializes Offer; guards observers
	observers []func(*route.Table, Source)
	// refused is the last document that was refused, so that it is logged once.
	refused string
}

// held is one version in force. It is immutable.
type held struct {
	table *route.Table
	since time.Time
	// past are the documents before, the newest last, at most remembered.
	past []*route.Document
	// whole returns the document as peers without one get it, changes what leads from each of
	// the past versions to it; each is made when first asked.
	whole   func() (*encoded.Body, error)
	changes map[uint64]func() (*encoded.Body, error)
	// lostKeys holds, for each of the past versions, the tenants that have lost a key since.
	lostKeys map[uint64]map[string]bool
}

// remembered is how many past documents are kept, to tell peers that have one of
// them just what differs.
const remembered = 6

// NewKeeper returns a keeper without a table.
func NewKeeper(decode Decoder, logger *zap.Logger) *Keeper {
	return &Keeper{decode: decode, logger: logger}
}

// Table returns the table in force, nil before the first.
func (k *Keeper) Table() *route.Table {
	if current := k.held.Load(); current != nil {
		return current.table
	}
	return nil
}

// Version returns the version in force, zero before the first.
func (k *Keeper) Version() uint64 { return k.Table().Version() }

// Since returns what leads from a past version to the one in force: the whole
// document when that version is not remembered, nil before the first.
func (k *Keeper) Since(version uint64) *route.Change {
	current := k.held.Load()
	if current == nil {
		return nil
	}
	document := current.table.Document()
	for _, past := range current.past {
		if past.Version == version {
			return document.ChangeFrom(past)
		}
	}
	return document.ChangeFrom(nil)
}

// EncodedSince is Since as it goes to peers, nil before the first version. It is made once, since
// many ask for the same.
func (k *Keeper) EncodedSince(version uint64) (*encoded.Body, error) {
	current := k.held.Load()
	if current == nil {
		return nil, nil
	}
	if change := current.changes[version]; change != nil {
		return change()
	}
	return current.whole()
}

// LostKey reports whether the tenant is known to have lost a key since a past version.
func (k *Keeper) LostKey(version uint64, tenant string) bool {
	current := k.held.Load()
	return current != nil && current.lostKeys[version][tenant]
}

// Age returns how long the version has been in force.
func (k *Keeper) Age() time.Duration {
	if current := k.held.Load(); current != nil {
		return clock.Since(current.since)
	}
	return 0
}

// Observe has the function called with each table put in force from now on.
func (k *Keeper) Observe(observer func(*route.Table, Source)) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.observers = append(k.observers, observer)
}

// ErrNotNewer says that a document is not above the version in force.
var ErrNotNewer = errors.New("the version is not above the one in force")

// Offer puts a document in force when it is valid and newer. Otherwise the one
// before stays in force, whole.
func (k *Keeper) Offer(raw []byte, source Source) error {
	return k.contained(string(raw), source, func() error { return k.offer(raw, source) })
}

// contained takes in a document under the lock. One that sets off a panic is refused: every
// node gets it, and gets it again after a restart.
func (k *Keeper) contained(document string, source Source, take func() error) (err error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if fault := contain.Run("configuration", k.logger, func() { err = take() }); fault != nil {
		return k.refuse(document, source, fault)
	}
	return err
}

// offer is Offer; the lock is held.
func (k *Keeper) offer(raw []byte, source Source) error {
	document, notes, err := k.decode(raw)
	if err != nil {
		return k.refuse(string(raw), source, trace.Wrap(err, "decode configuration"))
	}
	return k.adopt(document, notes, source)
}

// Advance puts in force what a peer's change makes of the document in force. The
// error is route.ErrBase when it starts from another one.
func (k *Keeper) Advance(change *route.Change) error {
	return k.contained(strconv.FormatUint(change.Version, 10), SourcePeer, func() error { return k.advance(change) })
}

// advance is Advance; the lock is held.
func (k *Keeper) advance(change *route.Change) error {
	if change.Version <= k.Version() {
		return ErrNotNewer
	}
	document, err := change.Apply(k.Table().Document())
	if err != nil {
		return err
	}
	return k.adopt(document, nil, SourcePeer)
}

// adopt puts a newer document in force; the lock is held.
func (k *Keeper) adopt(document *route.Document, notes []string, source Source) error {
	before := k.held.Load()
	if document.Version <= k.Version() {
		return ErrNotNewer
	}
	compiled, err := route.Compile(document, k.Table())
	if err != nil {
		return k.refuse(strconv.FormatUint(document.Version, 10), source, trace.Wrap(err, "compile configuration"))
	}
	next := &held{table: compiled, since: clock.Now(), whole: encodedChange(document, nil)}
	if before != nil {
		past := append(slices.Clone(before.past), before.table.Document())
		next.past = past[max(0, len(past)-remembered):]
		next.changes = make(map[uint64]func() (*encoded.Body, error), remembered)
		next.lostKeys = make(map[uint64]map[string]bool, remembered)
		for _, base := range next.past {
			next.changes[base.Version] = encodedChange(document, base)
			next.lostKeys[base.Version] = base.TenantsWithRevokedKeys(document)
		}
	}
	old := k.Version()
	k.held.Store(next)
	k.logger.Info("configuration in force",
		zap.Uint64("version", document.Version), zap.Uint64("before", old),
		zap.String("source", string(source)), zap.Int("routes", len(document.Routes)), zap.Strings("notes", notes))
	for _, observer := range k.observers {
		observer(compiled, source)
	}
	return nil
}

// refuse logs why a document was not taken, once for each.
func (k *Keeper) refuse(document string, source Source, err error) error {
	if k.refused != document {
		k.refused = document
		k.logger.Error("configuration refused",
			zap.Uint64("inForce", k.Version()), zap.String("source", string(source)), zap.Error(err))
	}
	return err
}
