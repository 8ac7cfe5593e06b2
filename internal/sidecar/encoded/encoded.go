// Package encoded encodes the JSON bodies that nodes send each other, and compresses long ones.
package encoded

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gravitational/trace"
)

// Body is a value encoded as JSON. It is immutable.
type Body struct {
	Bytes []byte
	// Compressed reports whether Bytes are compressed by gzip.
	Compressed bool
}

const (
	// CompressionThreshold is the length in bytes from which a body is worth compressing: a compressor takes
	// more memory than a shorter body does.
	CompressionThreshold = 4 << 10
	// headerEncoding is the header that names the content coding of a body.
	headerEncoding = "Content-Encoding"
	// ContentCoding is the only content coding in use.
	ContentCoding = "gzip"
)

// JSON encodes a value, and compresses the result when it has at least compressFrom bytes.
func JSON(value any, compressFrom int) (*Body, error) {
	uncompressed, err := json.Marshal(value)
	if err != nil {
		return nil, trace.Wrap(err, "encode JSON body")
	}
	if len(uncompressed) < compressFrom {
		return &Body{Bytes: uncompressed}, nil
	}
	compressed := &bytes.Buffer{}
	compressor, err := gzip.NewWriterLevel(compressed, gzip.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err, "compress JSON body")
	}
	if _, err := compressor.Write(uncompressed); err != nil {
		return nil, trace.Wrap(err, "compress JSON body")
	}
	if err := compressor.Close(); err != nil {
		return nil, trace.Wrap(err, "compress JSON body")
	}
	return &Body{Bytes: compressed.Bytes(), Compressed: true}, nil
}

// SetContentEncoding sets Content-Encoding in the header when the body is compressed.
func (b *Body) SetContentEncoding(header http.Header) {
	if b.Compressed {
		header.Set(headerEncoding, ContentCoding)
	}
}

// Reader returns a reader of the JSON in a body, decompressing it as the header requires.
func Reader(header http.Header, body io.Reader) (io.Reader, error) {
	if header.Get(headerEncoding) != ContentCoding {
		return body, nil
	}
	return gzip.NewReader(body)
}
