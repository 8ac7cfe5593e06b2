package sidecar

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
)

func TestBackendStatusWithoutNotices(t *testing.T) {
	g := NewWithT(t)
	raw, err := json.Marshal(newNode(t).BackendStatus())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(raw).To(MatchJSON(`{
		"endpoint": {"id": "i-0", "service": "alpha", "version": "v1", "slots": 4, "state": "ready", "sequence": 0},
		"leavesByAnswer": false, "limit": null, "recent": 0, "running": 0, "waiting": 0
	}`))
}
