package hop_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
)

func TestRequestHeader(t *testing.T) {
	g := NewWithT(t)
	sent := hop.Request{
		Service: "one", Caller: "two", Remaining: 1234567 * time.Microsecond, Priority: 3,
		MaximumWait: 90 * time.Millisecond, ExpectedServiceTime: 36500 * time.Microsecond, Returning: true, Suspect: true, Nested: true, OverShare: true,
		Repeated: true,
	}
	received, err := hop.ParseRequest(sent.Format())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received).To(Equal(sent))
	sent.Returning = false
	received, err = hop.ParseRequest(sent.Format())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received).To(Equal(sent))
	late := hop.Request{Service: "one", Remaining: -time.Second, MaximumWait: -1}
	received, err = hop.ParseRequest(late.Format())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received.Remaining).To(Equal(time.Microsecond))
	g.Expect(received.MaximumWait).To(BeZero())
}

func TestRequestOfThePreviousRelease(t *testing.T) {
	g := NewWithT(t)
	received, err := hop.ParseRequest("one two 1 2 3 4 5 1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received).To(Equal(hop.Request{
		Service: "one", Caller: "two", Remaining: time.Microsecond, Priority: 2, MaximumWait: 3 * time.Microsecond,
		ExpectedServiceTime: 5 * time.Microsecond, Returning: true,
	}))
}

func TestReplyHeader(t *testing.T) {
	g := NewWithT(t)
	sent := hop.Reply{
		Version: 1<<53 - 1, Running: 9, Waiting: 2, Slots: 9, HoldTime: 120 * time.Millisecond, Factor: 1.5, ServiceTime: 80 * time.Millisecond, FailureRate: 0.25,
	}
	received, err := hop.ParseReply(sent.Format())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received).To(Equal(sent))
}

// TestUsualOfARequest checks that the usual rates are sent with requests to a version under
// comparison, and with no others.
func TestUsualOfARequest(t *testing.T) {
	g := NewWithT(t)
	sent := hop.Request{
		Service: "one", Caller: "two", Remaining: time.Second, Priority: 1, MaximumWait: 20 * time.Millisecond,
		ExpectedServiceTime: 30 * time.Millisecond, BaselineRates: &rollout.BaselineRates{Failing: 0.25, Slow: 0.004},
	}
	received, err := hop.ParseRequest(sent.Format())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received).To(Equal(sent))
	sent.BaselineRates = nil
	received, err = hop.ParseRequest(sent.Format())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received.BaselineRates).To(BeNil())
}

func TestReplyOfThePreviousRelease(t *testing.T) {
	g := NewWithT(t)
	received, err := hop.ParseReply("1 2 3 4 5 6 7")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received.ServiceTime).To(Equal(7 * time.Microsecond))
	g.Expect(received.FailureRate).To(BeZero())
}

func TestMalformedHeaders(t *testing.T) {
	for _, line := range []string{"", "one", " two 1 2 3 4 5 0", "one two 1 2 3 4", "one two 1 2 3 4 0 6 7 8", "one two 1 2 3 4 0 6 x", "one two -1 2 3 4 0", "one two x 2 3 4 0"} {
		_, err := hop.ParseRequest(line)
		NewWithT(t).Expect(err).To(MatchError(hop.ErrMalformedHeader), line)
	}
	for _, line := range []string{"", "1 2 3 4 5 6", "1 2 3 4 5 6 7 8 9", "1 2 3 4 5 6 99999999999999999999", "1 2 3 4 5 6 -7"} {
		_, err := hop.ParseReply(line)
		NewWithT(t).Expect(err).To(MatchError(hop.ErrMalformedHeader), line)
	}
}

func TestMilliseconds(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", "-1", "x", "1.5", "99999999999999"} {
		_, valid := hop.ParseMilliseconds(text)
		g.Expect(valid).To(BeFalse(), text)
	}
	read, valid := hop.ParseMilliseconds("1200")
	g.Expect(valid).To(BeTrue())
	g.Expect(read).To(Equal(1200 * time.Millisecond))
	g.Expect(hop.FormatMilliseconds(10 * time.Microsecond)).To(Equal("1"))
	g.Expect(hop.FormatSeconds(150 * time.Millisecond)).To(Equal("0.15"))
}

// TestFormatAgeRoundsUp checks that an age is never reported as less than it is.
func TestFormatAgeRoundsUp(t *testing.T) {
	g := NewWithT(t)
	for age, want := range map[time.Duration]string{0: "0", time.Nanosecond: "1", time.Millisecond: "1", 1500 * time.Microsecond: "2"} {
		g.Expect(hop.FormatAge(age)).To(Equal(want))
	}
}
