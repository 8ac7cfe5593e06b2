package precedence_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/precedence"
)

func TestOrder(t *testing.T) {
	g := NewWithT(t)
	ordered := []precedence.Precedence{
		{Nested: true, Priority: 2},
		{},
		{Returning: true},
		{OverShare: true},
		{OverShare: true, Returning: true},
		{Priority: 1},
		{Priority: 1, Returning: true},
	}
	for i, level := range ordered {
		g.Expect(level.Level()).To(Equal(i))
	}
	g.Expect(precedence.Precedence{Nested: true, Priority: 3}.Level()).To(BeZero(), "regardless of priority")
}
