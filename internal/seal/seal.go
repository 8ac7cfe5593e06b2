// Package seal keeps secret values unreadable in the store. Values are sealed
// with age to the newest of this process's identities and opened with any of
// them, so that identities can be rotated.
package seal

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"io"
	"os"
	"strings"

	"filippo.io/age"
	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/settings"
)

// The stored form of a sealed value is the prefix, the id of the key it is
// sealed to, a colon and the age file in base64.
const (
	sealedPrefix = "kestrel-sealed:v1:"
	keySeparator = ":"
	keyIDBytes   = 6
	// commentPrefix begins a line of an identities file that holds no identity.
	commentPrefix = "#"
)

// Sealer seals and opens secret values. It is immutable and safe for
// concurrent use.
type Sealer struct {
	// keys are the identities, newest first.
	keys []key
}

type key struct {
	id       string
	identity *age.X25519Identity
}

// NewIdentity makes an age identity in the form that settings hold.
func NewIdentity() (string, error) {
	identity, err := age.GenerateX25519Identity()
	if err != nil {
		return "", trace.Wrap(err, "making a sealing identity")
	}
	return identity.String(), nil
}

// Load returns the sealer of the settings, those in the file after those
// written out.
func Load(sealing settings.Sealing) (*Sealer, error) {
	var identities []string
	for _, identity := range sealing.Identities {
		identities = append(identities, identity.Reveal())
	}
	if sealing.IdentitiesFile != "" {
		content, err := os.ReadFile(sealing.IdentitiesFile)
		if err != nil {
			return nil, trace.Wrap(err, "reading sealing.identitiesFile")
		}
		for line := range strings.Lines(string(content)) {
			line = strings.TrimSpace(line)
			if line != "" && !strings.HasPrefix(line, commentPrefix) {
				identities = append(identities, line)
			}
		}
	}
	return New(identities)
}

// New returns a sealer over identities, newest first. Without any, values are
// stored as they are and sealed ones cannot be opened.
func New(identities []string) (*Sealer, error) {
	sealer := &Sealer{}
	for index, text := range identities {
		identity, err := age.ParseX25519Identity(text)
		if err != nil {
			// The library's error may quote the identity.
			return nil, trace.BadParameter("sealing identity %d cannot be read", index+1)
		}
		sealer.keys = append(sealer.keys, key{id: keyID(identity), identity: identity})
	}
	return sealer, nil
}

// keyID names a key by its public half, so that errors can say which is wanted.
func keyID(identity *age.X25519Identity) string {
	digest := sha256.Sum256([]byte(identity.Recipient().String()))
	return hex.EncodeToString(digest[:keyIDBytes])
}

// KeyIDs returns the ids of the keys held, newest first. They reveal nothing.
func (s *Sealer) KeyIDs() []string {
	ids := make([]string, 0, len(s.keys))
	for _, held := range s.keys {
		ids = append(ids, held.id)
	}
	return ids
}

// Seal returns the form of a value that may be stored. No error quotes the
// value.
func (s *Sealer) Seal(value string) (string, error) {
	if len(s.keys) == 0 {
		if strings.HasPrefix(value, sealedPrefix) {
			return "", trace.BadParameter("a value may not begin as sealed ones do")
		}
		return value, nil
	}
	newest := s.keys[0]
	var sealed bytes.Buffer
	writer, err := age.Encrypt(&sealed, newest.identity.Recipient())
	if err != nil {
		return "", trace.Wrap(err, "sealing to key %s", newest.id)
	}
	if _, err := io.WriteString(writer, value); err != nil {
		return "", trace.Wrap(err, "sealing to key %s", newest.id)
	}
	if err := writer.Close(); err != nil {
		return "", trace.Wrap(err, "sealing to key %s", newest.id)
	}
	return sealedPrefix + newest.id + keySeparator + base64.StdEncoding.EncodeToString(sealed.Bytes()), nil
}

// Open returns the value that was sealed. A value stored before sealing was
// switched on is returned as it is. No error quotes the value.
func (s *Sealer) Open(stored string) (string, error) {
	rest, isSealed := strings.CutPrefix(stored, sealedPrefix)
	if !isSealed {
		return stored, nil
	}
	id, encoded, complete := strings.Cut(rest, keySeparator)
	if !complete {
		return "", trace.BadParameter("the sealed value is cut short")
	}
	for _, held := range s.keys {
		if held.id == id {
			return open(held, encoded)
		}
	}
	return "", &UnknownKeyError{ID: id, Held: s.KeyIDs()}
}

func open(held key, encoded string) (string, error) {
	sealed, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return "", trace.BadParameter("the sealed value is not in base64")
	}
	reader, err := age.Decrypt(bytes.NewReader(sealed), held.identity)
	if err != nil {
		return "", trace.Wrap(err, "opening with key %s", held.id)
	}
	value, err := io.ReadAll(reader)
	if err != nil {
		return "", trace.Wrap(err, "opening with key %s", held.id)
	}
	return string(value), nil
}

// UnknownKeyError says that a value is sealed to a key this process lacks.
type UnknownKeyError struct {
	// ID is the key wanted; Held are the keys at hand.
	ID   string
	Held []string
}

// Error names the key wanted and those held.
func (e *UnknownKeyError) Error() string {
	held := "none"
	if len(e.Held) > 0 {
		held = strings.Join(e.Held, ", ")
	}
	return "the value is sealed to key " + e.ID + ", held are: " + held + "; see sealing.identities"
}
