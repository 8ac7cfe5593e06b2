package configuration

import (
	"sync"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/encoded"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// encodedChange returns the function that encodes, once, what leads from a base, nil for none, to a
// document. A document of thousands of routes is long, and so is a change that adds as many; either
// goes to many nodes at once, over links of 5 Mbit/s. 1,400 added routes have 0.3 MB, and less than a
// tenth of it compressed (TestALargeChangeIsSmallOnTheWay). Most changes have a few routes.
func encodedChange(document, base *route.Document) func() (*encoded.Body, error) {
	compressFrom := 0
	if base != nil {
		compressFrom = encoded.CompressionThreshold
	}
	return sync.OnceValues(func() (*encoded.Body, error) {
		return encoded.JSON(document.ChangeFrom(base), compressFrom)
	})
}
