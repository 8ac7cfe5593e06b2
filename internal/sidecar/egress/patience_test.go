package egress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestPatienceOfCallers(t *testing.T) {
	g := NewWithT(t)
	known := &patience{}
	g.Expect(known.returns(1200 * time.Millisecond)).To(BeFalse())
	g.Expect(known.returns(1200 * time.Millisecond)).To(BeFalse())
	g.Expect(known.returns(1199 * time.Millisecond)).To(BeFalse())
	g.Expect(known.returns(900 * time.Millisecond)).To(BeTrue())
	g.Expect(known.returns(1500 * time.Millisecond)).To(BeFalse())
}
