package configuration

import (
	"sync"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/encoded"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// encodedChange returns a function that encodes, once, the change from a base, nil for none, to a
// document. A document of thousands of routes is long, and so is a change that adds as many; either
// is sent to many nodes at once, over links of 5 Mbit/s. 1,400 added routes take 0.3 MB, and less than
// a tenth of that compressed (TestLargeChangeIsCompressed). Most changes contain few routes and are
// sent uncompressed; whole documents are always compressed.
func encodedChange(document, base *route.Document) func() (*encoded.Body, error) {
	compressFrom := 0
	if base != nil {
		compressFrom = encoded.CompressionThreshold
	}
	return sync.OnceValues(func() (*encoded.Body, error) {
		return encoded.JSON(document.ChangeFrom(base), compressFrom)
	})
}
