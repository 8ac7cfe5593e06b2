package proxy_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

func TestCallThroughBothProxies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		testMesh := newMesh(2, nil)
		defer testMesh.close()
		var seen http.Header
		for _, backend := range testMesh.backends {
			backend.setHandler(func(w http.ResponseWriter, r *http.Request) {
				seen = r.Header.Clone()
				w.Header().Set("Kestrel-Outcome", "not-run")
				w.Header().Set("Authorization", "Bearer secret")
				answerOK(w, r)
			})
		}
		request := testMesh.request(http.MethodPost, "one")
		request.Header.Set("Authorization", "Bearer forged")
		request.Header.Set("Kestrel-Call-Id", "forged")
		response, err := testMesh.client.Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("ok"))
		g.Expect(response.StatusCode).To(Equal(200))
		g.Expect(response.Header).NotTo(HaveKey("Kestrel-Outcome"))
		g.Expect(response.Header).NotTo(HaveKey("Kestrel-Load"))
		g.Expect(response.Header).NotTo(HaveKey("Authorization"))
		g.Expect(seen["Authorization"]).To(Equal([]string{"Bearer secret"}))
		g.Expect(seen.Get("Kestrel-Call-Id")).NotTo(Equal("forged"))
		g.Expect(seen.Get("Kestrel-Call-Id")).NotTo(BeEmpty())
		g.Expect(seen.Get("Kestrel-Deadline-Ms")).To(Equal("2000"))
		g.Expect(seen).NotTo(HaveKey("Kestrel-Service"))
	})
}
