package egress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestReturningCallers(t *testing.T) {
	g := NewWithT(t)
	known := &callerTimeout{}
	g.Expect(known.isReturning(1200 * time.Millisecond)).To(BeFalse())
	g.Expect(known.isReturning(1200 * time.Millisecond)).To(BeFalse())
	g.Expect(known.isReturning(1199 * time.Millisecond)).To(BeFalse())
	g.Expect(known.isReturning(900 * time.Millisecond)).To(BeTrue())
	g.Expect(known.isReturning(1500 * time.Millisecond)).To(BeFalse())
}
