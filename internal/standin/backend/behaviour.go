package backend

import (
	"math/rand/v2"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Fault is one way in which a back end breaks an exchange.
type Fault string

// The faults of one exchange.
const (
	// FaultNone answers in full.
	FaultNone Fault = ""
	// FaultSlow works longer than usual, then answers in full.
	FaultSlow Fault = "slow"
	// FaultKillBefore resets the connection before any work.
	FaultKillBefore Fault = "kill-before"
	// FaultKillDuring resets the connection in the middle of the work.
	FaultKillDuring Fault = "kill-during"
	// FaultKillAfter resets the connection after the work, before the answer.
	FaultKillAfter Fault = "kill-after"
	// FaultHalfAnswer resets the connection in the middle of the answer.
	FaultHalfAnswer Fault = "half-answer"
	// FaultShed refuses the request before any work, as if out of slots.
	FaultShed Fault = "shed"
)

// FaultRate is the share of requests that meet one fault.
type FaultRate struct {
	Fault Fault `json:"fault"`
	// PerMillion requests, this many meet the fault.
	PerMillion uint32 `json:"perMillion"`
}

// HealthMode says how truthful the health endpoint is.
type HealthMode string

// The modes of the health endpoint.
const (
	// HealthTruthful answers what holds now.
	HealthTruthful HealthMode = ""
	// HealthAlwaysReady claims readiness whatever holds.
	HealthAlwaysReady HealthMode = "always-ready"
	// HealthAlwaysDown claims to be down whatever holds.
	HealthAlwaysDown HealthMode = "always-down"
	// HealthLagging answers what held HealthLag ago.
	HealthLagging HealthMode = "lagging"
)

// LoadMode says how truthful the reported load is.
type LoadMode string

// The modes of the load report.
const (
	// LoadTruthful reports the slots in use.
	LoadTruthful LoadMode = ""
	// LoadClaimsIdle reports no load at all.
	LoadClaimsIdle LoadMode = "claims-idle"
	// LoadClaimsFull reports every slot in use.
	LoadClaimsFull LoadMode = "claims-full"
	// LoadLagging reports what held at the last multiple of LoadLag.
	LoadLagging LoadMode = "lagging"
)

// Behaviour is what a back end does beyond answering at once. It is replaced
// as a whole and never modified.
type Behaviour struct {
	// Work is how long a request occupies its slot.
	Work resource.Duration `json:"work,omitempty"`
	// SlowWork is how long a request takes that meets FaultSlow.
	SlowWork resource.Duration `json:"slowWork,omitempty"`
	// LongWork is how long a long request takes: half of it before the first
	// half of its answer, half of it before the second. Of a million requests
	// LongPerMillion are long, chosen by FaultSeed and number.
	LongWork       resource.Duration `json:"longWork,omitempty"`
	LongPerMillion uint32            `json:"longPerMillion,omitempty"`
	// AnswerBytes is the length of an answer after its first line.
	AnswerBytes int `json:"answerBytes,omitempty"`
	// FaultSeed and FaultRates choose the fault of each request by its number.
	FaultSeed  uint64      `json:"faultSeed,omitempty"`
	FaultRates []FaultRate `json:"faultRates,omitempty"`
	// Stalled back ends accept requests and do not go on with them.
	Stalled   bool              `json:"stalled,omitempty"`
	Health    HealthMode        `json:"health,omitempty"`
	HealthLag resource.Duration `json:"healthLag,omitempty"`
	Load      LoadMode          `json:"load,omitempty"`
	LoadLag   resource.Duration `json:"loadLag,omitempty"`
}

// FaultOf returns the fault a request meets. It depends on the seed, the
// request and the salt only, so that a run can be repeated.
func (b *Behaviour) FaultOf(number, salt uint64) Fault {
	if len(b.FaultRates) == 0 {
		return FaultNone
	}
	drawn := drawPerMillion(b.FaultSeed^salt, number)
	for _, rate := range b.FaultRates {
		if drawn < rate.PerMillion {
			return rate.Fault
		}
		drawn -= rate.PerMillion
	}
	return FaultNone
}

// longSalt keeps the choice of long requests apart from that of faults.
const longSalt = 0x6c6f6e67

// IsLong reports whether a request is long. It is the same at every back end.
func (b *Behaviour) IsLong(number uint64) bool {
	return b.LongPerMillion > 0 && drawPerMillion(b.FaultSeed^longSalt, number) < b.LongPerMillion
}

func drawPerMillion(seed, number uint64) uint32 {
	const million = 1_000_000
	return rand.New(rand.NewPCG(seed, number)).Uint32N(million)
}

// coldWork returns how long work takes at an age below the cold start: it
// falls in a line from coldFactor times the usual to the usual.
func coldWork(work, age, coldStart time.Duration) time.Duration {
	if age >= coldStart {
		return work
	}
	remaining := float64(coldStart-age) / float64(coldStart)
	return work + time.Duration(float64(work)*(coldFactor-1)*remaining)
}

// coldFactor is how many times longer work takes right after the start.
const coldFactor = 5
