package notrun_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
)

func TestEvidenceOfASend(t *testing.T) {
	reply := func(requestID, replyID string, status int, marked bool) *notrun.Reply {
		return &notrun.Reply{RequestID: requestID, ReplyID: replyID, Status: status, Marked: marked}
	}
	signed := func(reply *notrun.Reply) *notrun.Reply {
		reply.Signed = true
		return reply
	}
	cases := []struct {
		name string
		send notrun.Send
		want string
	}{
		{"nothing written", notrun.Send{NothingWritten: true}, "nothing-written"},
		{"reused connection, nothing written, a late reply", notrun.Send{NothingWritten: true, Reply: reply("b", "a", 503, true)}, "nothing-written"},
		{"nothing written, body withheld", notrun.Send{NothingWritten: true, BodyWithheld: true}, "nothing-written"},
		{"nothing written, a late reply to the request before", notrun.Send{NothingWritten: true, Reply: reply("b", "a", 200, false)}, "nothing-written"},
		{"written, no reply", notrun.Send{}, ""},
		{"100 Continue expected and received, no reply", notrun.Send{}, ""},
		{"100 Continue expected and not received, a final reply", notrun.Send{BodyWithheld: true, Reply: reply("a", "a", 200, false)}, ""},
		{"written, body withheld, no reply", notrun.Send{BodyWithheld: true}, "body-withheld"},
		{"rejected", notrun.Send{Reply: reply("a", "a", 503, true)}, "rejected"},
		{"rejected with 429", notrun.Send{Reply: reply("a", "a", 429, true)}, "rejected"},
		{"rejected with 400", notrun.Send{Reply: reply("a", "a", 400, true)}, "rejected"},
		{"rejected for want of an id", notrun.Send{Reply: reply("", "", 400, true)}, "rejected"},
		{"another request rejected", notrun.Send{Reply: reply("b", "a", 503, true)}, ""},
		{"rejected, the reply has no id", notrun.Send{Reply: reply("a", "", 503, true)}, ""},
		{"rejected, the request has no id", notrun.Send{Reply: reply("", "a", 503, true)}, ""},
		{"another instance", notrun.Send{Reply: reply("a", "a", 421, false)}, "misdirected"},
		{"another instance, with the marker", notrun.Send{Reply: reply("a", "a", 421, true)}, "misdirected"},
		{"another instance, for another request", notrun.Send{Reply: reply("b", "a", 421, false)}, ""},
		{"another instance, the reply has no id", notrun.Send{Reply: reply("a", "", 421, false)}, ""},
		{"rejected and signed", notrun.Send{Reply: signed(reply("a", "a", 503, true))}, ""},
		{"rejected with a success", notrun.Send{Reply: reply("a", "a", 200, true)}, ""},
		{"rejected with an interim status", notrun.Send{Reply: reply("a", "a", 103, true)}, ""},
		{"another instance, signed", notrun.Send{Reply: signed(reply("a", "a", 421, false))}, ""},
		{"a status that promises it, without the marker", notrun.Send{Reply: reply("a", "a", 503, false)}, ""},
		{"408 without the marker", notrun.Send{Reply: reply("a", "a", 408, false)}, ""},
		{"429 without the marker", notrun.Send{Reply: reply("a", "a", 429, false)}, ""},
		{"a success", notrun.Send{Reply: reply("a", "a", 200, false)}, ""},
		{"a failure", notrun.Send{Reply: reply("a", "a", 500, false)}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := tc.send.Evidence()
			NewWithT(t).Expect(got.String()).To(Equal(tc.want))
			NewWithT(t).Expect(got.Proven()).To(Equal(tc.want != ""))
		})
	}
}
