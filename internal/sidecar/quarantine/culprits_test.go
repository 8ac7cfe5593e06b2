package quarantine

import (
	"strings"
	"testing"
	"time"
	"unicode"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
)

// digests returns one digest per letter.
func digests(letters string) (all []fingerprint.Digest) {
	for i := range len(letters) {
		all = append(all, fingerprint.Digest{letters[i]})
	}
	return all
}

// TestFindCulprits checks which requests explain crashes that are given by the requests running at
// each.
func TestFindCulprits(t *testing.T) {
	cases := []struct {
		name string
		// crashes are the requests running at each crash, in upper case for the trial request.
		crashes []string
		want    string
	}{
		{"no crash", nil, ""},
		{"single crash", []string{"abc"}, ""},
		{"the only one at both, on trial at the second", []string{"abc", "Ade"}, "a"},
		{"at both, never on trial", []string{"abc", "ade"}, ""},
		{"at all simultaneous crashes, never on trial", []string{"abc", "ade", "af", "ag"}, ""},
		{"two at both: undecided until the next run of each", []string{"abc", "Abd"}, ""},
		{"two at both, one of them on trial at a third", []string{"abc", "abd", "Ae"}, "a"},
		{"two at three, one of them on trial", []string{"abc", "abd", "Abe"}, "a"},
		{"unrelated crashes", []string{"ab", "Cd", "Ef", "gh"}, ""},
		{"two harmful ones at two crashes each: inconclusive", []string{"ax", "Ay", "bw", "Bz"}, ""},
		{"two harmful ones at three each", []string{"ax", "Ay", "Av", "bw", "Bz", "Bu"}, "ab"},
		{"two harmful ones, and one running with both", []string{"ax", "Ay", "bx", "Bz"}, ""},
		{"two harmful ones, one at more crashes", []string{"ax", "Ay", "Av", "bx", "Bz"}, "ab"},
		{"one back end crashes without it as well", []string{"ax", "Ay", "v"}, ""},
		{"two back ends crash without it as well", []string{"ax", "Ay", "v", "w"}, ""},
		{"explained crash does not count against others", []string{"ab", "Ac", "Ad", "Bd"}, "a"},
		{"copies of one request at one back end are one crash", []string{"aAb", "c"}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			var open []openCrash
			for i, running := range tc.crashes {
				crash := openCrash{endpoint: string(rune('0' + i)), digests: digests(strings.ToLower(running))}
				if trial := strings.IndexFunc(running, unicode.IsUpper); trial >= 0 {
					crash.trial = crash.digests[trial]
				}
				open = append(open, crash)
			}
			var blamed []fingerprint.Digest
			for _, found := range findCulprits(open) {
				blamed = append(blamed, found.digest)
			}
			g.Expect(blamed).To(ConsistOf(digests(tc.want)))
		})
	}
}

// TestOldCrashesAreNotCoincidences guards against old crashes that stay unexplained, because nobody
// repeats their requests, delaying the quarantine of a later harmful request by another crash.
func TestOldCrashesAreNotCoincidences(t *testing.T) {
	cases := []struct {
		apart  time.Duration
		blamed int
	}{
		{0, 0},
		{coincidenceWindow, 0},
		{coincidenceWindow + time.Nanosecond, 1},
		{time.Hour, 1},
	}
	for _, tc := range cases {
		now := time.Now()
		open := []openCrash{
			{endpoint: "old", digests: digests("v"), at: now.Add(-tc.apart)},
			{endpoint: "first", digests: digests("ax"), at: now.Add(-time.Hour)},
			{endpoint: "second", digests: digests("ay"), trial: digests("a")[0], at: now},
		}
		NewWithT(t).Expect(findCulprits(open)).To(HaveLen(tc.blamed), "%v apart", tc.apart)
	}
}
