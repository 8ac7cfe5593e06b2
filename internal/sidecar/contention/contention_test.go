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
	for _, test := range cases {
		g := NewWithT(t)
		control := contention.NewSwitch(test.mode)
		control.SetTenantsConfigured(test.tenants)
		if test.shared {
			g.Expect(control.SetShared()).To(BeTrue())
			g.Expect(control.SetShared()).To(BeFalse(), "already known")
		}
		g.Expect(control.On()).To(Equal(test.on), "%+v", test)
		g.Expect(control.Shared()).To(Equal(test.shared))
	}
}
