package stream

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/klauspost/compress/gzip"
	"github.com/klauspost/compress/zstd"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
)

// Encoding is a content encoding of a stream's response.
type Encoding string

// The encodings a server can write and a client can read.
const (
	EncodingIdentity Encoding = "identity"
	EncodingGzip     Encoding = "gzip"
	EncodingZstd     Encoding = "zstd"
)

// zstdWindowBytes bounds the history, and so the memory, of one stream's
// compressor and decompressor.
const zstdWindowBytes = 32 << 10

// EncodedMessage is a message together with its JSON line, which is computed once
// however many sessions send it.
type EncodedMessage struct {
	message *distribution.Message
	once    sync.Once
	line    []byte
	err     error
}

// Encode prepares a message for sending; the JSON is computed on first use.
func Encode(message *distribution.Message) *EncodedMessage { return &EncodedMessage{message: message} }

// Line returns the message as JSON with a line end.
func (e *EncodedMessage) Line() ([]byte, error) {
	e.once.Do(func() {
		e.line, e.err = json.Marshal(e.message)
		e.line = append(e.line, '\n')
	})
	return e.line, e.err
}

// cachedMessages is how many recent messages a Sharer remembers.
const cachedMessages = 64

// EncodingCache gives one Encoded to every session that is sent the same message. It
// is not safe for concurrent use; its owner is the loop that dispatches sends.
type EncodingCache struct {
	byMessage map[*distribution.Message]*EncodedMessage
	recent    []*distribution.Message
	next      int
}

// NewEncodingCache returns an empty sharer.
func NewEncodingCache() *EncodingCache {
	return &EncodingCache{
		byMessage: make(map[*distribution.Message]*EncodedMessage, cachedMessages),
		recent:    make([]*distribution.Message, cachedMessages),
	}
}

// Encode returns the shared encoding of a message.
func (s *EncodingCache) Encode(message *distribution.Message) *EncodedMessage {
	if encoded := s.byMessage[message]; encoded != nil {
		return encoded
	}
	if oldest := s.recent[s.next]; oldest != nil {
		delete(s.byMessage, oldest)
	}
	s.recent[s.next] = message
	s.next = (s.next + 1) % cachedMessages
	encoded := Encode(message)
	s.byMessage[message] = encoded
	return encoded
}

// flushWriter is a compressor whose output is complete up to each Flush.
type flushWriter interface {
	io.WriteCloser
	Flush() error
}

type identityWriter struct{ io.Writer }

func (identityWriter) Flush() error { return nil }
func (identityWriter) Close() error { return nil }

// negotiateEncoding picks the best encoding that the request accepts.
func negotiateEncoding(header http.Header) Encoding {
	accepted := strings.Join(header.Values("Accept-Encoding"), ",")
	for _, encoding := range []Encoding{EncodingZstd, EncodingGzip} {
		for token := range strings.SplitSeq(accepted, ",") {
			name, _, _ := strings.Cut(strings.TrimSpace(token), ";")
			if strings.EqualFold(name, string(encoding)) {
				return encoding
			}
		}
	}
	return EncodingIdentity
}

func newCompressor(encoding Encoding, destination io.Writer) (flushWriter, error) {
	switch encoding {
	case EncodingZstd:
		return zstd.NewWriter(destination,
			zstd.WithEncoderConcurrency(1),
			zstd.WithEncoderLevel(zstd.SpeedFastest),
			zstd.WithWindowSize(zstdWindowBytes),
			zstd.WithEncoderCRC(false),
			zstd.WithLowerEncoderMem(true))
	case EncodingGzip:
		return gzip.NewWriterLevel(destination, gzip.BestSpeed)
	default:
		return identityWriter{destination}, nil
	}
}

func newDecompressor(encoding Encoding, source io.Reader) (io.ReadCloser, error) {
	switch encoding {
	case EncodingZstd:
		decoder, err := zstd.NewReader(source,
			zstd.WithDecoderConcurrency(1),
			zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxWindow(zstdWindowBytes))
		if err != nil {
			return nil, err
		}
		return decoder.IOReadCloser(), nil
	case EncodingGzip:
		return gzip.NewReader(source)
	default:
		return io.NopCloser(source), nil
	}
}
