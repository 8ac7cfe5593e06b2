package ratelimit

import (
	"math"
	"time"
)

// usageTime is the time over which the use of a limit by class is averaged.
const usageTime = 2 * time.Second

// usage is how many requests of each class pass, as counts that fade over usageTime. The zero value has
// seen none.
type usage struct {
	counts [classes]float64
	at     time.Time
	// last is when a request of the class passed last, asked is when one asked last to pass before its turn.
	last, asked [classes]time.Time
}

// note counts a request of the class.
func (u *usage) note(class Class, now time.Time) {
	u.fade(now)
	u.counts[class]++
	u.last[class] = now
}

// before returns how many requests a second of the more urgent classes pass.
func (u *usage) before(class Class, now time.Time) (perSecond float64) {
	u.fade(now)
	for _, count := range u.counts[:class] {
		perSecond += count / usageTime.Seconds()
	}
	return perSecond
}

func (u *usage) fade(now time.Time) {
	passed := now.Sub(u.at)
	if passed <= 0 {
		return
	}
	left := math.Exp(-passed.Seconds() / usageTime.Seconds())
	for i := range u.counts {
		u.counts[i] *= left
	}
	u.at = now
}

// ask notes that a request of the class asks to pass before its turn.
func (u *usage) ask(class Class, now time.Time) { u.asked[class] = now }

// waitsLongest reports whether no other class that has asked within that time has waited longer.
func (u *usage) waitsLongest(class Class, within time.Duration, now time.Time) bool {
	for other, asked := range u.asked {
		if now.Sub(asked) < within && u.last[other].Before(u.last[class]) {
			return false
		}
	}
	return true
}
