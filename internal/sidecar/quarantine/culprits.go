package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
)

const (
	// minCrashes is the number of back ends that must have crashed while running a request before
	// it is quarantined. A single crash has as many suspects as the back end had slots. With two,
	// fewer back ends are lost than the three crashes from which an outside observer could identify
	// the request.
	minCrashes = 2
	// conclusiveCrashes is the number of crashes from which on a request is quarantined even if
	// another suspect was running at one of them, or a back end crashed without it at about the
	// same time. Two suspects rarely share that many, as a back end runs one suspect at a time.
	conclusiveCrashes = 3
	// coincidenceWindow is the time within which an unexplained crash without the request indicates
	// that back ends crash for another reason. One such crash is enough: if two were required, more
	// harmless requests would be quarantined, and no fewer back ends would crash under harmful ones
	// (TestUnrelatedCrashes, TestHarmfulRequests). Older crashes indicate nothing, as they stay
	// unexplained for days if nobody repeats the requests that were running.
	coincidenceWindow = 10 * time.Second
)

// openCrash is an unexplained crash and the requests that may have caused it.
type openCrash struct {
	endpoint string
	// at is the time at which the node learned of the crash.
	at      time.Time
	digests []fingerprint.Digest
	// trial is the one of them that was a suspect before, the zero digest if there was none.
	trial fingerprint.Digest
}

// culprit is a request and the back ends that it crashed.
type culprit struct {
	digest    fingerprint.Digest
	endpoints []string
}

// suspect collects the crashes at which a request was running.
type suspect struct {
	digest fingerprint.Digest
	// crashes are the indices of the crashes at which it was running.
	crashes []int
	// onTrial means that it was the trial request at one of them.
	onTrial bool
}

// findCulprits returns the requests that explain the crashes: first the one that was running at the
// most of them, then the one that was running at the most of the rest. An explained crash no longer
// counts against other requests.
//
// Only a request that was the trial request at a crash is blamed. One that is made all the time is
// running wherever back ends crash together, and would be quarantined without this rule although it
// is harmless (TestUnrelatedCrashes). If two requests were running at the same number of crashes and
// share one, neither is blamed; the next run of each decides.
func findCulprits(open []openCrash) (blamed []culprit) {
	for {
		top := topSuspects(open)
		if len(top) == 0 {
			return blamed
		}
		explained := map[int]bool{}
		for _, found := range top {
			result := culprit{digest: found.digest}
			for _, i := range found.crashes {
				result.endpoints = append(result.endpoints, open[i].endpoint)
				explained[i] = true
			}
			blamed = append(blamed, result)
		}
		open = unexplained(open, explained)
	}
}

// topSuspects returns the requests to be blamed first, none if there is no conclusive one.
func topSuspects(open []openCrash) []*suspect {
	suspects := collectSuspects(open)
	most := 0
	for _, entry := range suspects {
		most = max(most, len(entry.crashes))
	}
	if most < minCrashes {
		return nil
	}
	leading := slices.DeleteFunc(suspects, func(entry *suspect) bool { return len(entry.crashes) < most })
	return slices.DeleteFunc(slices.Clone(leading), func(entry *suspect) bool {
		return !entry.onTrial || (most < conclusiveCrashes && (entry.coincides(open) || entry.sharesCrash(leading)))
	})
}

// collectSuspects returns the suspects of all crashes, ordered by digest.
func collectSuspects(open []openCrash) []*suspect {
	byDigest := map[fingerprint.Digest]*suspect{}
	for i, crash := range open {
		for _, digest := range crash.digests {
			entry := byDigest[digest]
			if entry == nil {
				entry = &suspect{digest: digest}
				byDigest[digest] = entry
			}
			// Copies of a request may have been running in parallel.
			if !slices.Contains(entry.crashes, i) {
				entry.crashes = append(entry.crashes, i)
			}
			entry.onTrial = entry.onTrial || digest == crash.trial
		}
	}
	return slices.SortedFunc(maps.Values(byDigest), func(a, b *suspect) int { return a.digest.Compare(b.digest) })
}

// sharesCrash reports whether another one of the requests was running at one of the crashes.
func (a *suspect) sharesCrash(others []*suspect) bool {
	return slices.ContainsFunc(others, func(other *suspect) bool {
		return other != a && slices.ContainsFunc(other.crashes, func(end int) bool { return slices.Contains(a.crashes, end) })
	})
}

// coincides reports whether a back end crashed without the request at about the time of the last
// crash with it.
func (a *suspect) coincides(open []openCrash) bool {
	last := slices.MaxFunc(a.crashes, func(i, j int) int { return open[i].at.Compare(open[j].at) })
	for i, crash := range open {
		if apart := crash.at.Sub(open[last].at).Abs(); apart <= coincidenceWindow && !slices.Contains(a.crashes, i) {
			return true
		}
	}
	return false
}

func unexplained(open []openCrash, explained map[int]bool) (left []openCrash) {
	for i, crash := range open {
		if !explained[i] {
			left = append(left, crash)
		}
	}
	return left
}
