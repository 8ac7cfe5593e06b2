package attachment

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// Announcer is the authority of the endpoint beside a proxy: it numbers the
// changes of its state and has them reported. Without an endpoint it does
// nothing. It is safe for concurrent use once an attachment reports for it.
type Announcer struct {
	logger *zap.Logger
	// report hands an update to the subscription; it does not block.
	report func(update endpoint.Update)

	// mutex guards authority, which is nil without an endpoint.
	mutex     sync.Mutex
	authority *endpoint.Authority
}

// NewAnnouncer returns the authority of an endpoint, which begins in the
// initial update's state; nil means that there is no endpoint.
func NewAnnouncer(initial *endpoint.Update, logger *zap.Logger) *Announcer {
	created := &Announcer{logger: logger, report: func(endpoint.Update) {}}
	if initial != nil {
		created.authority = endpoint.NewAuthority(*initial)
	}
	return created
}

// Set reports a new state of the endpoint.
func (a *Announcer) Set(state endpoint.State) {
	a.announce(func(authority *endpoint.Authority) (endpoint.Update, bool) { return authority.Set(state) })
}

// repeat reports the state as it is. Only the first stream needs it: later ones
// carry it in their hello, under the sequence it has, so that a proxy which moves
// to another relay causes no update anywhere.
func (a *Announcer) repeat() {
	a.announce(func(authority *endpoint.Authority) (endpoint.Update, bool) { return authority.Current(), true })
}

// observe refutes what others wrongly say of the endpoint.
func (a *Announcer) observe(updates []endpoint.Update) {
	now := time.Now()
	for _, update := range updates {
		a.announce(func(authority *endpoint.Authority) (endpoint.Update, bool) { return authority.Observe(now, update) })
	}
}

// announce runs a step of the authority and reports its update, if any.
func (a *Announcer) announce(step func(*endpoint.Authority) (endpoint.Update, bool)) {
	if a.authority == nil {
		return
	}
	a.mutex.Lock()
	update, changed := step(a.authority)
	a.mutex.Unlock()
	if !changed {
		return
	}
	a.logger.Info("endpoint state", zap.String("endpoint", update.ID.Name), zap.String("state", string(update.State)))
	a.report(update)
}
