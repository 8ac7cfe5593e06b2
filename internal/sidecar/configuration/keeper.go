// Package configuration holds the configuration in force on a node. It is compiled
// from a document that the control plane commits as a whole. The document is read from
// the store or, when the store does not answer this node, from a peer that has it.
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

// Decoder decodes a committed document. Notes describe the parts that it omitted.
type Decoder func(raw []byte) (document *route.Document, notes []string, err error)

// Source is the way in which a document reached the node.
type Source string

// The sources of documents.
const (
	// SourceWatch is an event of a watch of the store.
	SourceWatch Source = "watch"
	// SourceRead is a read of the store.
	SourceRead Source = "read"
	// SourcePeer is a fetch from another node.
	SourcePeer Source = "peer"
)

// Keeper holds the routing table in force and the recent documents before it. Its version only increases.
type Keeper struct {
	decode Decoder
	logger *zap.Logger
	active atomic.Pointer[active]
	// proof is the time at which the node was last known to be up to date.
	proof proof

	mutex     sync.Mutex // serializes Offer; guards observers
	observers []func(*route.Table, Source)
	// lastRefused is the last document that was refused, so that the refusal is logged once.
	lastRefused string
}

// active is a version in force. It is immutable.
type active struct {
	table *route.Table
	since time.Time
	// past holds up to maxPast previous documents, the newest last.
	past []*route.Document
	// whole returns the encoded document, for peers without a known version; changes holds, for
	// each past version, the encoded change from it. Each is encoded when first requested.
	whole   func() (*encoded.Body, error)
	changes map[uint64]func() (*encoded.Body, error)
	// lostKeys holds, for each past version, the tenants that have lost a key since.
	lostKeys map[uint64]map[string]bool
}

// maxPast is the number of past documents that are kept, so that peers that hold one of them are
// sent only the change from it.
const maxPast = 6

// NewKeeper returns a keeper without a table.
func NewKeeper(decode Decoder, logger *zap.Logger) *Keeper {
	return &Keeper{decode: decode, logger: logger}
}

// Table returns the table in force, nil before the first.
func (k *Keeper) Table() *route.Table {
	if current := k.active.Load(); current != nil {
		return current.table
	}
	return nil
}

// Version returns the version in force, zero before the first.
func (k *Keeper) Version() uint64 { return k.Table().Version() }

// ChangeSince returns the change from a past version to the one in force: the whole
// document when that version is not kept, nil before the first.
func (k *Keeper) ChangeSince(version uint64) *route.Change {
	current := k.active.Load()
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

// EncodedChangeSince returns ChangeSince encoded for peers, nil before the first version. Each change is
// encoded once, since many peers request the same one.
func (k *Keeper) EncodedChangeSince(version uint64) (*encoded.Body, error) {
	current := k.active.Load()
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
	current := k.active.Load()
	return current != nil && current.lostKeys[version][tenant]
}

// Age returns how long the version has been in force.
func (k *Keeper) Age() time.Duration {
	if current := k.active.Load(); current != nil {
		return clock.Since(current.since)
	}
	return 0
}

// Observe registers a function that is called with each table put in force from now on.
func (k *Keeper) Observe(observer func(*route.Table, Source)) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.observers = append(k.observers, observer)
}

// ErrNotNewer reports that a document's version is not above the one in force.
var ErrNotNewer = errors.New("the version is not above the one in force")

// Offer puts a document in force when it is valid and newer. Otherwise the current
// one stays in force unchanged.
func (k *Keeper) Offer(raw []byte, source Source) error {
	return k.containPanic(string(raw), source, func() error { return k.offer(raw, source) })
}

// containPanic runs an update under the lock. A document that causes a panic is refused rather
// than ending the process: every node receives it, and receives it again after a restart.
func (k *Keeper) containPanic(document string, source Source, update func() error) (err error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if fault := contain.Run("configuration", k.logger, func() { err = update() }); fault != nil {
		return k.refuse(document, source, fault)
	}
	return err
}

// offer implements Offer; the lock is held.
func (k *Keeper) offer(raw []byte, source Source) error {
	document, notes, err := k.decode(raw)
	if err != nil {
		return k.refuse(string(raw), source, trace.Wrap(err, "decode configuration"))
	}
	return k.activate(document, notes, source)
}

// ApplyChange applies a peer's change to the document in force and puts the result in force. The
// error is route.ErrBaseMismatch when the change is based on another version.
func (k *Keeper) ApplyChange(change *route.Change) error {
	return k.containPanic(strconv.FormatUint(change.Version, 10), SourcePeer, func() error { return k.applyChange(change) })
}

// applyChange implements ApplyChange; the lock is held.
func (k *Keeper) applyChange(change *route.Change) error {
	if change.Version <= k.Version() {
		return ErrNotNewer
	}
	document, err := change.Apply(k.Table().Document())
	if err != nil {
		return err
	}
	return k.activate(document, nil, SourcePeer)
}

// activate puts a newer document in force; the lock is held.
func (k *Keeper) activate(document *route.Document, notes []string, source Source) error {
	before := k.active.Load()
	if document.Version <= k.Version() {
		return ErrNotNewer
	}
	compiled, err := route.Compile(document, k.Table())
	if err != nil {
		return k.refuse(strconv.FormatUint(document.Version, 10), source, trace.Wrap(err, "compile configuration"))
	}
	next := &active{table: compiled, since: clock.Now(), whole: encodedChange(document, nil)}
	if before != nil {
		past := append(slices.Clone(before.past), before.table.Document())
		next.past = past[max(0, len(past)-maxPast):]
		next.changes = make(map[uint64]func() (*encoded.Body, error), maxPast)
		next.lostKeys = make(map[uint64]map[string]bool, maxPast)
		for _, base := range next.past {
			next.changes[base.Version] = encodedChange(document, base)
			next.lostKeys[base.Version] = base.TenantsWithRevokedKeys(document)
		}
	}
	old := k.Version()
	k.active.Store(next)
	k.logger.Info("configuration in force",
		zap.Uint64("version", document.Version), zap.Uint64("before", old),
		zap.String("source", string(source)), zap.Int("routes", len(document.Routes)), zap.Strings("notes", notes))
	for _, observer := range k.observers {
		observer(compiled, source)
	}
	return nil
}

// refuse logs why a document was refused, once for each document.
func (k *Keeper) refuse(document string, source Source, err error) error {
	if k.lastRefused != document {
		k.lastRefused = document
		k.logger.Error("configuration refused",
			zap.Uint64("inForce", k.Version()), zap.String("source", string(source)), zap.Error(err))
	}
	return err
}
