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

// Encoding is the content encoding of a stream response.
type Encoding string

// The encodings supported by servers and clients.
const (
	EncodingIdentity Encoding = "identity"
	EncodingGzip     Encoding = "gzip"
	EncodingZstd     Encoding = "zstd"
)

// zstdWindowBytes is the window size, which bounds the memory of one stream's
// compressor and decompressor.
const zstdWindowBytes = 32 << 10

// EncodedMessage is a message with its JSON encoding, which is computed only once
// even if several sessions send the message.
type EncodedMessage struct {
	message *distribution.Message
	once    sync.Once
	line    []byte
	err     error
}

// Encode prepares a message for sending; the JSON is computed on first use.
func Encode(message *distribution.Message) *EncodedMessage { return &EncodedMessage{message: message} }

// Line returns the message as JSON, terminated by a newline.
func (e *EncodedMessage) Line() ([]byte, error) {
	e.once.Do(func() {
		e.line, e.err = json.Marshal(e.message)
		e.line = append(e.line, '\n')
	})
	return e.line, e.err
}

// cachedMessages is the number of recent messages that an EncodingCache keeps.
const cachedMessages = 64

// EncodingCache returns the same EncodedMessage to all sessions that send the
// same message, identified by its pointer. It is not safe for concurrent use: the
// loop that dispatches messages to sessions owns it.
type EncodingCache struct {
	byMessage map[*distribution.Message]*EncodedMessage
	recent    []*distribution.Message
	next      int
}

// NewEncodingCache returns an empty cache.
func NewEncodingCache() *EncodingCache {
	return &EncodingCache{
		byMessage: make(map[*distribution.Message]*EncodedMessage, cachedMessages),
		recent:    make([]*distribution.Message, cachedMessages),
	}
}

// Encode returns the cached encoding of a message and adds it when it is missing,
// in place of the oldest one.
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

// flushWriter is a compressor. After Flush the receiver can decode everything
// written before.
type flushWriter interface {
	io.WriteCloser
	Flush() error
}

// identityWriter is a flushWriter that doesn't compress.
type identityWriter struct{ io.Writer }

func (identityWriter) Flush() error { return nil }
func (identityWriter) Close() error { return nil }

// negotiateEncoding returns the preferred encoding among those that the request
// accepts: zstd, then gzip, then identity. It ignores quality values.
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
