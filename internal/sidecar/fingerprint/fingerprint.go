// Package fingerprint identifies requests by their content. A caller that retries sends another
// request id, possibly to another node, but the content stays the same.
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

// digestBytes is the length of a digest. Crafting a request with the digest of another one takes
// about 2^96 attempts.
const digestBytes = 12

// Digest is a truncated hash of a request's content. It is equal at all nodes and stable across
// restarts.
type Digest [digestBytes]byte

// Fingerprint identifies one request, with and without its caller.
type Fingerprint struct {
	// Content covers the method, host, path with query, and body.
	Content Digest `json:"content"`
	// Call covers the content and the service of the caller.
	Call Digest `json:"call"`
}

// Body is a request's body, of which a part may have been buffered before the request is forwarded.
type Body interface {
	// Held returns the buffered beginning of the body and the length of the whole body, negative if
	// unknown.
	Held() (beginning []byte, length int64)
}

// Of returns the fingerprint of a request from a caller's service. Of a body that is streamed only
// the length counts, since its bytes are not buffered.
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

// String returns the digest as 16 characters of unpadded URL-safe base64.
func (d Digest) String() string { return base64.RawURLEncoding.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// ErrInvalidDigest is returned for a text that is not a valid digest.
var ErrInvalidDigest = errors.New("fingerprint: invalid digest")

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	read, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(read) != digestBytes {
		return ErrInvalidDigest
	}
	copy(d[:], read)
	return nil
}

// Compare orders digests by their bytes.
func (d Digest) Compare(other Digest) int { return bytes.Compare(d[:], other[:]) }
