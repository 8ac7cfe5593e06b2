package fingerprint_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
)

// BenchmarkOf measures computing the fingerprint of a request.
func BenchmarkOf(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			r := httptest.NewRequest("GET", "http://mesh.example/a/path/of/usual/length", nil)
			body := held(strings.Repeat("x", size))
			b.ReportAllocs()
			for b.Loop() {
				fingerprint.Of(r, "service", body)
			}
		})
	}
}
