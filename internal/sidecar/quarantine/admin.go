package quarantine

import (
	"errors"
	"net/http"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
)

// Paths of the operators' pages.
const (
	// PathList lists the verdicts.
	PathList = "/quarantine"
	// PathLift lifts the one whose digest the query names.
	PathLift        = "/quarantine/lift"
	digestParameter = "digest"
)

// ServeLift lifts a verdict.
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
