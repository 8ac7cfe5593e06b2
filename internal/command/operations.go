package command

import (
	"crypto/sha256"
	"encoding/json"
	"regexp"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

var operationIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// validateOperation returns a *resource.RejectionError when the operation id
// is not usable.
func validateOperation(operation resource.Operation) error {
	if operationIDPattern.MatchString(operation.ID) {
		return nil
	}
	return &resource.RejectionError{Fields: []resource.FieldError{{
		Path: "operation.id", Reason: "must be 1 to 64 letters, digits, '.', '_' or '-'",
	}}}
}

// errIDReused refuses an operation id that stands for other changes.
var errIDReused = &resource.RejectionError{Fields: []resource.FieldError{{
	Path: "operation.id", Reason: "was already used for other changes",
}}}

// committedOperation is what is remembered of an operation in the log.
type committedOperation struct {
	version uint64
	content digest
}

// operationIndex remembers the operations of the newest entries, so that a
// repeated operation id gets its first outcome. It is not safe for concurrent
// use.
type operationIndex struct {
	byID map[string]committedOperation
	// order holds the operations' ids in log order, oldest first.
	order []string
}

// rememberedVersions is for how many versions operations are remembered. The
// log keeps at least as many entries when it is trimmed. At the target of 740
// changes a day this is more than a day.
const rememberedVersions = 1024

func newOperationIndex() *operationIndex {
	return &operationIndex{byID: map[string]committedOperation{}}
}

func (i *operationIndex) add(entry resource.Entry) {
	for _, batch := range entry.Batches {
		id := batch.Operation.ID
		if _, known := i.byID[id]; known {
			continue
		}
		i.byID[id] = committedOperation{version: entry.Version, content: newContent(batch).digest}
		i.order = append(i.order, id)
	}
	i.forget(entry.Version)
}

// forget drops the operations of versions too far below the newest.
func (i *operationIndex) forget(newest uint64) {
	for len(i.order) > 0 && i.byID[i.order[0]].version+rememberedVersions <= newest {
		delete(i.byID, i.order[0])
		i.order = i.order[1:]
	}
}

// find returns the first outcome of an operation id, if it has one:
// accepted for the same content, rejected for other content.
func (i *operationIndex) find(operationID string, content digest) (Outcome, bool) {
	committed, known := i.byID[operationID]
	if !known {
		return Outcome{}, false
	}
	if committed.content != content {
		return fromError(operationID, errIDReused), true
	}
	return Outcome{Result: Accepted, Version: committed.version, OperationID: operationID, Repeated: true}, true
}

// digest identifies the changes of a batch. It is never stored or shown, since
// it covers the values of secrets.
type digest [sha256.Size]byte

// content is what a batch changes, apart from who asked for it.
type content struct {
	digest digest
	// size is the length of the encoded changes in bytes.
	size int
}

func newContent(batch resource.Batch) content {
	encoded, err := json.Marshal(batch.Changes)
	if err != nil {
		panic("command: a valid batch always encodes: " + err.Error())
	}
	return content{digest: sha256.Sum256(encoded), size: len(encoded)}
}
