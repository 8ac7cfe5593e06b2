package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
)

const (
	// minCrashes is how many back ends must have ended under a request before it is
	// blamed. One end has as many suspects as the back end had slots. With two the harm
	// stays below the three that an outsider needs to see it.
	minCrashes = 2
	// conclusiveCrashes is from how many on a request is blamed though another one shares its
	// ends, or a back end ends without it at that time: two suspects rarely share so many,
	// since they run one at a time.
	conclusiveCrashes = 3
	// coincidenceWindow is within which an open end without a request shows that back ends end for
	// another reason than the request. Where a tenth to a half of them end three times, 44 of
	// 1,350,000 harmless requests were held back, 81 when it took two such ends, and as many
	// back ends ended under harmful ones (300 days of TestEndsForOtherReasons and
	// TestHarmfulRequests). Older ends stay open for days when nobody asks again for what was
	// at work there: they say nothing.
	coincidenceWindow = 10 * time.Second
)

// openCrash is one end of a back end and the requests that may have made it.
type openCrash struct {
	endpoint string
	// at is when the node learnt of it.
	at      time.Time
	digests []fingerprint.Digest
	// trial is the one of them that was suspected before; the zero digest for none.
	trial fingerprint.Digest
}

// culprit is a request and the back ends that it ended.
type culprit struct {
	digest    fingerprint.Digest
	endpoints []string
}

// suspect is what speaks against one request.
type suspect struct {
	digest fingerprint.Digest
	// crashes are the places of the crashes at which it was at work.
	crashes []int
	// onTrial: it was on trial at one of them.
	onTrial bool
}

// findCulprits returns the requests that explain the ends: first the one that was at work at the
// most of them, then the one at the most of the others. Ends that are explained speak
// against nobody else.
//
// Only a request that was on trial at an end is blamed. One that is asked for all the time
// is at work wherever back ends end together: without that, 284 of 10,000 harmless requests
// were held back where half of the back ends ended three times and a tenth of the requests
// were for one thing (TestEndsForOtherReasons). Of two requests at as many ends that share
// one, neither is blamed: the next run of each tells.
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

// topSuspects returns the requests to be blamed first, none when nobody is.
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

// collectSuspects returns what speaks against each request, in the order of digests.
func collectSuspects(open []openCrash) []*suspect {
	byDigest := map[fingerprint.Digest]*suspect{}
	for i, crash := range open {
		for _, digest := range crash.digests {
			entry := byDigest[digest]
			if entry == nil {
				entry = &suspect{digest: digest}
				byDigest[digest] = entry
			}
			// Copies of one request may be at work side by side.
			if !slices.Contains(entry.crashes, i) {
				entry.crashes = append(entry.crashes, i)
			}
			entry.onTrial = entry.onTrial || digest == crash.trial
		}
	}
	return slices.SortedFunc(maps.Values(byDigest), func(a, b *suspect) int { return a.digest.Compare(b.digest) })
}

// sharesCrash reports whether another one of the requests was at work at one of the ends.
func (a *suspect) sharesCrash(others []*suspect) bool {
	return slices.ContainsFunc(others, func(other *suspect) bool {
		return other != a && slices.ContainsFunc(other.crashes, func(end int) bool { return slices.Contains(a.crashes, end) })
	})
}

// coincides reports whether a back end ended without the request about when the last one
// ended under it.
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
