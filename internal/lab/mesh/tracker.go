package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// tracker knows the listeners and connections of one node, so that they can be
// cut at once, as they are when a process dies.
type tracker struct {
	mutex       sync.Mutex
	listeners   []net.Listener
	connections map[*trackedConnection]struct{}
	killed      bool
}

func newTracker() *tracker { return &tracker{connections: map[*trackedConnection]struct{}{}} }

// listen binds an address; port 0 lets the system choose.
func (t *tracker) listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s", address)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.listeners = append(t.listeners, listener)
	return &trackedListener{Listener: listener, tracker: t}, nil
}

// dialTimeout bounds the opening of a connection.
const dialTimeout = 3 * time.Second

// dial opens a connection of the node; a killed node opens none.
func (t *tracker) dial(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	connection := &trackedConnection{TCPConn: opened.(*net.TCPConn), tracker: t}
	t.add(connection)
	return connection, nil
}

// kill closes every listener and resets every connection, accepted or opened.
func (t *tracker) kill() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.killed = true
	for _, listener := range t.listeners {
		_ = listener.Close()
	}
	for connection := range t.connections {
		connection.reset()
	}
}

// resetConnections resets every accepted connection; the listeners stay.
func (t *tracker) resetConnections() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	count := 0
	for connection := range t.connections {
		if connection.accepted {
			connection.reset()
			count++
		}
	}
	return count
}

func (t *tracker) add(connection *trackedConnection) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.killed {
		connection.reset()
		return
	}
	t.connections[connection] = struct{}{}
}

func (t *tracker) remove(connection *trackedConnection) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.connections, connection)
}

type trackedListener struct {
	net.Listener
	tracker *tracker
}

// Accept returns the next connection, known to the tracker until it closes.
func (l *trackedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection := &trackedConnection{TCPConn: accepted.(*net.TCPConn), tracker: l.tracker, accepted: true}
	l.tracker.add(connection)
	return connection, nil
}

type trackedConnection struct {
	*net.TCPConn
	tracker  *tracker
	accepted bool
}

// Close closes the connection as planned.
func (c *trackedConnection) Close() error {
	c.tracker.remove(c)
	return c.TCPConn.Close()
}

func (c *trackedConnection) reset() {
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}
