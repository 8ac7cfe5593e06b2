package forward

import (
	"errors"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// scriptedConn replaces Write with a test function.
type scriptedConn struct {
	net.Conn
	write func(data []byte) (int, error)
}

func (c *scriptedConn) Write(data []byte) (int, error) { return c.write(data) }

// TestSeal checks the result of seal before, during and after a write, and that no write
// reaches the connection afterwards.
func TestSeal(t *testing.T) {
	broken := errors.New("broken")
	cases := []struct {
		name string
		// result and err are returned by the underlying Write; duringWrite calls seal
		// inside it.
		result      int
		err         error
		duringWrite bool
		skip        bool
		nothing     bool
	}{
		{name: "no write", skip: true, nothing: true},
		{name: "a complete write", result: 4},
		{name: "a partial write", result: 1, err: broken},
		{name: "a write that failed before its first byte", err: broken, nothing: true},
		{name: "a write in progress", result: 4, duringWrite: true},
		{name: "a write in progress that fails", err: broken, duringWrite: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var tracked *trackedConn
			var nothing bool
			writes := 0
			tracked = &trackedConn{Conn: &scriptedConn{write: func([]byte) (int, error) {
				writes++
				if test.duringWrite {
					nothing = tracked.seal()
				}
				return test.result, test.err
			}}}
			tracked.begin(t.Context())
			if !test.skip {
				_, err := tracked.Write([]byte("data"))
				g.Expect(err == nil).To(Equal(test.err == nil))
			}
			if !test.duringWrite {
				nothing = tracked.seal()
			}
			g.Expect(nothing).To(Equal(test.nothing))
			before := writes
			_, err := tracked.Write([]byte("late"))
			g.Expect(err).To(MatchError(net.ErrClosed))
			g.Expect(writes).To(Equal(before), "written after seal")
		})
	}
}
