package backend

import (
	"sync"
)

const ledgerShards = 64

// Record is what back ends know about one numbered request.
type Record struct {
	Number uint64 `json:"number"`
	// Arrivals counts how often the request reached a back end.
	Arrivals uint32 `json:"arrivals"`
	// Runs counts how often its work was started.
	Runs uint32 `json:"runs"`
	// Answers counts how often its whole answer was handed to the connection.
	Answers uint32 `json:"answers"`
	// Sheds counts how often it was refused before any work.
	Sheds uint32 `json:"sheds,omitempty"`
	// Cancellations counts how often the caller was seen to give up.
	Cancellations uint32 `json:"cancellations,omitempty"`
	// Faults counts how often a back end broke the exchange on purpose.
	Faults uint32 `json:"faults,omitempty"`
	// Slowed counts how often its work was drawn out on purpose.
	Slowed uint32 `json:"slowed,omitempty"`
}

// merge adds another back end's counts.
func (r *Record) merge(other Record) {
	r.Arrivals += other.Arrivals
	r.Runs += other.Runs
	r.Answers += other.Answers
	r.Sheds += other.Sheds
	r.Cancellations += other.Cancellations
	r.Faults += other.Faults
	r.Slowed += other.Slowed
}

// Ledger records what became of numbered requests. It keeps the newest
// requests up to its capacity; several back ends of one process may share it.
type Ledger struct {
	shards [ledgerShards]ledgerShard
	// perShard is the number of records of one shard.
	perShard uint64
}

type ledgerShard struct {
	mutex sync.Mutex
	// records is a ring indexed by the number's position in the shard.
	records []Record
	evicted uint64
}

// NewLedger returns a ledger of at least the given capacity in requests.
func NewLedger(capacity int) *Ledger {
	perShard := max(1, (capacity+ledgerShards-1)/ledgerShards)
	ledger := &Ledger{perShard: uint64(perShard)}
	for i := range ledger.shards {
		ledger.shards[i].records = make([]Record, perShard)
	}
	return ledger
}

// update applies a change to the record of a request; a request older than
// what its place already holds is counted as evicted.
func (l *Ledger) update(number uint64, change func(*Record)) {
	shard := &l.shards[number%ledgerShards]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	record := &shard.records[number/ledgerShards%l.perShard]
	if record.Arrivals > 0 && record.Number != number {
		shard.evicted++
		if record.Number > number {
			return
		}
		*record = Record{}
	}
	record.Number = number
	change(record)
}

// Get returns the record of a request; false when no back end saw it or its
// record gave way to a newer one.
func (l *Ledger) Get(number uint64) (Record, bool) {
	shard := &l.shards[number%ledgerShards]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	record := shard.records[number/ledgerShards%l.perShard]
	return record, record.Arrivals > 0 && record.Number == number
}

// Evicted returns how many records gave way to others. When it is not zero,
// a request without a record may still have run.
func (l *Ledger) Evicted() uint64 {
	var evicted uint64
	for i := range l.shards {
		shard := &l.shards[i]
		shard.mutex.Lock()
		evicted += shard.evicted
		shard.mutex.Unlock()
	}
	return evicted
}

// Merge adds the records of another ledger, such as one read from another
// process.
func (l *Ledger) Merge(records []Record) {
	for _, record := range records {
		l.update(record.Number, func(held *Record) { held.merge(record) })
	}
}

// Records returns every record held, in no order.
func (l *Ledger) Records() []Record {
	var records []Record
	for i := range l.shards {
		shard := &l.shards[i]
		shard.mutex.Lock()
		for _, record := range shard.records {
			if record.Arrivals > 0 {
				records = append(records, record)
			}
		}
		shard.mutex.Unlock()
	}
	return records
}
