package encoded_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/encoded"
)

// TestBodyRoundTrip checks that bodies decode to the encoded value, and that those of at least
// the given length are compressed.
func TestBodyRoundTrip(t *testing.T) {
	cases := []struct {
		name       string
		length     int
		from       int
		compressed bool
	}{{"short", 10, encoded.CompressionThreshold, false}, {"long", 2 * encoded.CompressionThreshold, encoded.CompressionThreshold, true}, {"always", 10, 0, true}}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			value := strings.Repeat("a", test.length)
			body, err := encoded.JSON(value, test.from)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body.Compressed).To(Equal(test.compressed))
			header := http.Header{}
			body.SetContentEncoding(header)
			plain, err := encoded.Reader(header, bytes.NewReader(body.Bytes))
			g.Expect(err).NotTo(HaveOccurred())
			var read string
			g.Expect(json.NewDecoder(plain).Decode(&read)).To(Succeed())
			g.Expect(read).To(Equal(value))
		})
	}
}

// TestInvalidBody checks that a body that is not gzip as its header claims, and a value that
// cannot be encoded, are errors.
func TestInvalidBody(t *testing.T) {
	g := NewWithT(t)
	_, err := encoded.Reader(http.Header{"Content-Encoding": {"gzip"}}, strings.NewReader("{}"))
	g.Expect(err).To(HaveOccurred())
	_, err = encoded.JSON(func() {}, 0)
	g.Expect(err).To(HaveOccurred())
}
