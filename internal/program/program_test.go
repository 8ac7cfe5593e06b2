package program

import (
	"context"
	"errors"
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/settings"
)

type fakeFlags struct{ err error }

func (f *fakeFlags) Load(io.Writer) (*string, error) {
	loaded := "loaded"
	return &loaded, f.err
}

type fakeRunner struct{ err error }

func (f *fakeRunner) Run(context.Context) error { return f.err }

func TestRun(t *testing.T) {
	broken := errors.New("broken")
	cases := []struct {
		name             string
		load, start, run error
		started          bool
		want             error
	}{
		{"whole", nil, nil, nil, true, nil},
		{"only printed", settings.ErrDone, nil, nil, false, nil},
		{"bad settings", broken, nil, nil, false, broken},
		{"does not start", nil, broken, nil, true, broken},
		{"ends with an error", nil, nil, broken, true, broken},
	}
	for _, played := range cases {
		t.Run(played.name, func(t *testing.T) {
			g := NewWithT(t)
			started := false
			err := run(io.Discard, &fakeFlags{played.load}, func(loaded string, _ context.Context) (*fakeRunner, error) {
				started = loaded == "loaded"
				return &fakeRunner{played.run}, played.start
			})
			g.Expect(started).To(Equal(played.started))
			if played.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(played.want))
		})
	}
}
