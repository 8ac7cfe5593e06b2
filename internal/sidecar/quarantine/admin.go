package quarantine

import (
	"errors"
	"net/http"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
)

// Paths of the operator interface.
const (
	// PathList lists the quarantined requests.
	PathList = "/quarantine"
	// PathLift releases the request whose digest is in the query.
	PathLift        = "/quarantine/lift"
	digestParameter = "digest"
)

// ServeLift releases a request from quarantine.
func (q *Quarantine) ServeLift(w http.ResponseWriter, r *http.Request) {
	var digest fingerprint.Digest
	if err := digest.UnmarshalText([]byte(r.URL.Query().Get(digestParameter))); err != nil {
		http.Error(w, digestParameter+": is no digest", http.StatusBadRequest)
		return
	}
	switch err := q.Lift(digest); {
	case errors.Is(err, ErrNotQuarantined):
		http.Error(w, digestParameter+": no such request is held back", http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
