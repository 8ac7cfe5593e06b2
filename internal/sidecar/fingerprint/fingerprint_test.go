package fingerprint_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
)

type held string

func (h held) Held() ([]byte, int64) { return []byte(h), int64(len(h)) }

type streamed int64

func (s streamed) Held() ([]byte, int64) { return nil, int64(s) }

func TestOf(t *testing.T) {
	of := func(method, target, caller string, body fingerprint.Body) fingerprint.Fingerprint {
		return fingerprint.Of(httptest.NewRequest(method, target, nil), caller, body)
	}
	first := of("GET", "http://h/a/?b=1", "one", held("x"))
	cases := []struct {
		name    string
		second  fingerprint.Fingerprint
		content bool // same content
		call    bool // the same content and caller
	}{
		{"identical requests", of("GET", "http://h/a/?b=1", "one", held("x")), true, true},
		{"another caller", of("GET", "http://h/a/?b=1", "two", held("x")), true, false},
		{"another method", of("PUT", "http://h/a/?b=1", "one", held("x")), false, false},
		{"another host", of("GET", "http://i/a/?b=1", "one", held("x")), false, false},
		{"another path", of("GET", "http://h/a/c?b=1", "one", held("x")), false, false},
		{"another query", of("GET", "http://h/a/?b=2", "one", held("x")), false, false},
		{"another body", of("GET", "http://h/a/?b=1", "one", held("y")), false, false},
		{"end of the path moved into the body", of("GET", "http://h/a/?b=", "one", held("1x")), false, false},
		{"streamed body", of("GET", "http://h/a/?b=1", "one", streamed(1)), false, false},
	}
	for _, compared := range cases {
		t.Run(compared.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(compared.second.Content == first.Content).To(Equal(compared.content))
			g.Expect(compared.second.Call == first.Call).To(Equal(compared.call))
		})
	}
}

func TestDigestText(t *testing.T) {
	g := NewWithT(t)
	digest := fingerprint.Of(httptest.NewRequest("GET", "/", nil), "", held("")).Content
	encoded, err := json.Marshal(digest)
	g.Expect(err).NotTo(HaveOccurred())
	var read fingerprint.Digest
	g.Expect(json.Unmarshal(encoded, &read)).To(Succeed())
	g.Expect(read).To(Equal(digest))
	for _, wrong := range []string{`""`, `"short"`, `"AAAAAAAAAAAAAAAAA"`, `"================"`} {
		g.Expect(json.Unmarshal([]byte(wrong), &read)).To(MatchError(fingerprint.ErrInvalidDigest), wrong)
	}
}
