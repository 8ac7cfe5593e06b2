package exchange

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// TestCatchingUpIsLogged: who told first, how long the node was behind, and how much of what
// it was told meanwhile it did not act on.
func TestCatchingUpIsLogged(t *testing.T) {
	g := NewWithT(t)
	core, logged := observer.New(zap.InfoLevel)
	heard := &news{}
	logger := zap.New(core)
	heard.hear(&roster.Record{Node: "first"}, 8, 7, logger)
	heard.hear(&roster.Record{Node: "second"}, 8, 7, logger)
	heard.unheeded()
	heard.hear(&roster.Record{Node: "third"}, 9, 7, logger)
	g.Expect(logged.FilterMessage("newer configuration announced").Len()).To(Equal(2), "once a version")

	heard.inForce(8, configuration.SourcePeer, logger)
	g.Expect(logged.FilterMessage("configuration caught up").Len()).To(BeZero(), "a newer one is known of")
	heard.inForce(9, configuration.SourcePeer, logger)
	caught := logged.FilterMessage("configuration caught up").All()
	g.Expect(caught).To(HaveLen(1))
	g.Expect(caught[0].ContextMap()).To(HaveKeyWithValue("first", "first"))
	g.Expect(caught[0].ContextMap()).To(HaveKeyWithValue("unheeded", BeEquivalentTo(1)))
	g.Expect(caught[0].ContextMap()["behind"]).To(BeNumerically(">=", time.Duration(0)))

	heard.inForce(10, configuration.SourceWatch, logger)
	g.Expect(logged.FilterMessage("configuration caught up").Len()).To(Equal(1), "it was not behind")
}
