// Package fingerprint tells requests for the same thing from others. A caller that comes
// back brings another request id, at any node; what it asks for stays the same.
package fingerprint

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"io"
	"net/http"
	"strconv"
)

// digestBytes is the length of a digest. A request that is to bear the digest of another
// one takes about 2^96 tries.
const digestBytes = 12

// Digest identifies what a request asks for. It is equal at all nodes and in all lives of
// them.
type Digest [digestBytes]byte

// Fingerprint is what is known of one request.
type Fingerprint struct {
	// Content is that of method, host, path with query, and body.
	Content Digest `json:"content"`
	// Call is that of the content and the service of the caller.
	Call Digest `json:"call"`
}

// Body is a request's body as far as it was read before the request was sent on.
type Body interface {
	// Held returns the bytes from the beginning that are held, and the length of the
	// whole body; below zero when that is not known.
	Held() (beginning []byte, length int64)
}

// Of returns the print of a request of a service. Of a body that streams through only its
// length counts, since it is not held.
func Of(r *http.Request, caller string, body Body) Fingerprint {
	beginning, length := body.Held()
	hash := sha256.New()
	for _, part := range [...]string{r.Method, r.Host, r.URL.RequestURI(), strconv.FormatInt(length, 10)} {
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(beginning)
	result := Fingerprint{Content: truncate(hash.Sum(nil))}
	call := sha256.New()
	_, _ = call.Write(result.Content[:])
	_, _ = io.WriteString(call, caller)
	result.Call = truncate(call.Sum(nil))
	return result
}

func truncate(sum []byte) (digest Digest) {
	copy(digest[:], sum)
	return digest
}

// String returns the digest as 16 letters, digits, dashes and underscores.
func (d Digest) String() string { return base64.RawURLEncoding.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// ErrInvalidDigest says that a text is no digest.
var ErrInvalidDigest = errors.New("fingerprint: no digest")

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	read, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(read) != digestBytes {
		return ErrInvalidDigest
	}
	copy(d[:], read)
	return nil
}

// Compare orders digests.
func (d Digest) Compare(other Digest) int { return bytes.Compare(d[:], other[:]) }
