package stream_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

var _ = Describe("Sharer", func() {
	It("encodes a message once and evicts old ones", func() {
		cache := stream.NewEncodingCache()
		message := &distribution.Message{Version: 1}
		first := cache.Encode(message)
		Expect(cache.Encode(message)).To(BeIdenticalTo(first))
		for range 100 {
			cache.Encode(&distribution.Message{})
		}
		Expect(cache.Encode(message)).NotTo(BeIdenticalTo(first))
	})
})

var _ = DescribeTable("KindOf", func(message distribution.Message, kind string) {
	Expect(stream.KindOf(&message).String()).To(Equal(kind))
},
	Entry(nil, distribution.Message{}, "heartbeat"),
	Entry(nil, distribution.Message{Version: 3}, "version"),
	Entry(nil, distribution.Message{Version: 3, Endpoints: []endpoint.Update{{}}}, "endpoints"),
	Entry(nil, distribution.Message{Version: 3, Checkpoint: &distribution.Checkpoint{}}, "checkpoint"),
	Entry(nil, distribution.Message{Version: 3, Readers: []distribution.Reader{{}}}, "status"),
	Entry(nil, distribution.Message{Goodbye: true}, "goodbye"),
)

// BenchmarkSharedEncoding measures the cost of a message for each session after
// the first.
func BenchmarkSharedEncoding(b *testing.B) {
	cache := stream.NewEncodingCache()
	message := &distribution.Message{Endpoints: manyEndpoints(100)}
	for b.Loop() {
		if _, err := cache.Encode(message).Line(); err != nil {
			b.Fatal(err)
		}
	}
}
