package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// runner is a process's code: it serves until the context ends and then stops
// in order.
type runner interface {
	Run(ctx context.Context) error
}

// starter assembles a process on the tracker's listeners. Once force ends, an
// orderly stop is cut short.
type starter func(force context.Context, tracked *tracker) (runner, error)

// node is a process of the mesh that can be stopped, killed and started again.
type node struct {
	name  string
	start starter

	// mutex owns the fields below: one start of the process.
	mutex   sync.Mutex
	tracked *tracker
	stop    context.CancelFunc
	force   context.CancelFunc
	ended   chan struct{}
	failure error
}

// Name returns the name of the node.
func (n *node) Name() string { return n.name }

// Start runs the process; it must not be running.
func (n *node) Start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	force, cancelForce := context.WithCancel(context.Background())
	running, cancelRunning := context.WithCancel(context.Background())
	tracked := newTracker()
	process, err := n.start(force, tracked)
	if err != nil {
		cancelForce()
		cancelRunning()
		tracked.kill()
		return trace.Wrap(err, "start %s", n.name)
	}
	ended := make(chan struct{})
	n.tracked, n.stop, n.force, n.ended = tracked, cancelRunning, cancelForce, ended
	go func() {
		defer close(ended)
		err := process.Run(running)
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.failure = err
	}()
	return nil
}

// Running reports whether the process was started and has not ended.
func (n *node) Running() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.ended == nil {
		return false
	}
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// Stop ends the process as planned and returns once it has ended. The error
// says what the process had to cut.
func (n *node) Stop() error {
	n.mutex.Lock()
	stop, force, ended := n.stop, n.force, n.ended
	n.mutex.Unlock()
	if ended == nil {
		return nil
	}
	stop()
	<-ended
	force()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.tracked.kill()
	return trace.Wrap(n.failure, "stop %s", n.name)
}

// ResetConnections resets every connection others have to the process, as a
// failing switch does, and returns how many there were.
func (n *node) ResetConnections() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.tracked == nil {
		return 0
	}
	return n.tracked.resetConnections()
}

// killPatience bounds the wait for a killed process's code to return.
const killPatience = 5 * time.Second

// Kill cuts every connection at once and then ends the process's code.
func (n *node) Kill() error {
	n.mutex.Lock()
	stop, force, ended, tracked := n.stop, n.force, n.ended, n.tracked
	n.mutex.Unlock()
	if ended == nil {
		return nil
	}
	tracked.kill()
	force()
	stop()
	select {
	case <-ended:
		return nil
	case <-time.After(killPatience):
		return trace.LimitExceeded("%s did not end within %v of being killed", n.name, killPatience)
	}
}
