package store

// A revision names a moment of the store. Where the store comes back from an older copy its own
// counter goes back and gives numbers out again; it tells so by an era that rises with each return.
// Adapters put the era before the counter, so that revisions rise over the whole life of the
// store: one of a later era is above all of earlier ones, and none is given out twice.
const (
	// counterBits is the length of the counter, eraBits that of the era: together they are exact
	// in JSON.
	counterBits = 40
	eraBits     = 13
)

// MostCounter and MostEra are the highest that a revision holds.
const (
	MostCounter = 1<<counterBits - 1
	MostEra     = 1<<eraBits - 1
)

// RevisionIn returns the revision of a counter's value within an era. Both are at most what a
// revision holds.
func RevisionIn(era, counter uint64) uint64 { return era<<counterBits | counter }

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> counterBits }

// CounterOf returns the value of the store's own counter within the revision's era.
func CounterOf(revision uint64) uint64 { return revision & MostCounter }
