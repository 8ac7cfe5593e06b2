package hop_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
)

func TestLimitHeader(t *testing.T) {
	for _, sent := range []hop.Limit{{PerSecond: 12.8, Remaining: 3.25}, {PerSecond: 0, Remaining: -7.5}, {PerSecond: 1000, Remaining: 1000}} {
		received, err := hop.ParseLimit(sent.Format())
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(received).To(Equal(sent))
	}
	for _, line := range []string{"", "1", "1 2 3", "x 1", "1 x", "-1 0", "1  2", "99999999999999999999 1", "1.5 2"} {
		_, err := hop.ParseLimit(line)
		NewWithT(t).Expect(err).To(MatchError(hop.ErrMalformedHeader), line)
	}
}
