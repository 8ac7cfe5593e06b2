// Package encoded makes JSON bodies of what nodes send each other, compressed where they are long.
package encoded

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gravitational/trace"
)

// Body is a value as JSON. It is immutable.
type Body struct {
	Bytes []byte
	// Compressed: the JSON is compressed by gzip.
	Compressed bool
}

const (
	// CompressionThreshold is the length in bytes from which a body is worth a compressor, which takes more memory
	// than shorter ones do.
	CompressionThreshold = 4 << 10
	// headerEncoding says how a body is compressed.
	headerEncoding = "Content-Encoding"
	// ContentCoding is the only one that is used.
	ContentCoding = "gzip"
)

// JSON encodes a value, and compresses what has at least that many bytes.
func JSON(value any, compressFrom int) (*Body, error) {
	uncompressed, err := json.Marshal(value)
	if err != nil {
		return nil, trace.Wrap(err, "encode a body")
	}
	if len(uncompressed) < compressFrom {
		return &Body{Bytes: uncompressed}, nil
	}
	compressed := &bytes.Buffer{}
	compressor, err := gzip.NewWriterLevel(compressed, gzip.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err, "compress a body")
	}
	if _, err := compressor.Write(uncompressed); err != nil {
		return nil, trace.Wrap(err, "compress a body")
	}
	if err := compressor.Close(); err != nil {
		return nil, trace.Wrap(err, "compress a body")
	}
	return &Body{Bytes: compressed.Bytes(), Compressed: true}, nil
}

// SetContentEncoding says in the header whether the body is compressed.
func (b *Body) SetContentEncoding(header http.Header) {
	if b.Compressed {
		header.Set(headerEncoding, ContentCoding)
	}
}

// NewReader returns what a body with the header holds.
func NewReader(header http.Header, body io.Reader) (io.Reader, error) {
	if header.Get(headerEncoding) != ContentCoding {
		return body, nil
	}
	return gzip.NewReader(body)
}
