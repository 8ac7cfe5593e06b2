package contention_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/contention"
)

func TestSwitch(t *testing.T) {
	cases := []struct {
		mode            contention.Mode
		tenants, shared bool
		on              bool
	}{
		{"", false, false, false},
		{contention.Auto, false, false, false},
		{contention.Auto, true, false, true},
		{contention.Auto, false, true, true},
		{contention.On, false, false, true},
		{contention.Off, true, true, false},
	}
	for _, given := range cases {
		g := NewWithT(t)
		made := contention.NewSwitch(given.mode)
		made.SetTenantsConfigured(given.tenants)
		if given.shared {
			g.Expect(made.SetShared()).To(BeTrue())
			g.Expect(made.SetShared()).To(BeFalse(), "it is no news")
		}
		g.Expect(made.On()).To(Equal(given.on), "%+v", given)
		g.Expect(made.Shared()).To(Equal(given.shared))
	}
}
