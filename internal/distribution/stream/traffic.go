package stream

import (
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
)

// MessageKind classifies control traffic for accounting.
type MessageKind int

// The kinds of control messages.
const (
	KindHeartbeat MessageKind = iota
	KindVersion
	KindSnapshot
	KindDelta
	KindCheckpoint
	KindEntries
	KindEndpoints
	KindStatus
	KindGoodbye
	KindHello
	KindReport
	messageKinds
)

var kindNames = [messageKinds]string{
	"heartbeat", "version", "snapshot", "delta", "checkpoint", "entries", "endpoints", "status", "goodbye", "hello", "report",
}

// String returns the kind's label.
func (k MessageKind) String() string { return kindNames[k] }

// KindOf classifies a message. One with several parts counts as the part that is
// usually the largest; a goodbye takes precedence.
func KindOf(message *distribution.Message) MessageKind {
	switch {
	case message.Goodbye:
		return KindGoodbye
	case message.Checkpoint != nil:
		return KindCheckpoint
	case message.Snapshot != nil:
		return KindSnapshot
	case message.Delta != nil:
		return KindDelta
	case len(message.Entries) > 0:
		return KindEntries
	case len(message.Endpoints)+len(message.Heard) > 0:
		return KindEndpoints
	case len(message.Zones)+len(message.Readers) > 0:
		return KindStatus
	case message.Version != 0:
		return KindVersion
	default:
		return KindHeartbeat
	}
}

// Count holds the number and the size of control messages.
type Count struct {
	Messages uint64 `json:"messages"`
	// Bytes is the size of the message bodies after encoding and compression.
	Bytes uint64 `json:"bytes"`
}

// Totals is the control traffic of one process since its start.
type Totals struct {
	Sent     map[string]Count `json:"sent"`
	Received map[string]Count `json:"received"`
	// ConnectionBytesSent and ConnectionBytesReceived count all bytes on the
	// control connections, including HTTP headers, chunk framing and TLS records.
	ConnectionBytesSent     uint64 `json:"connectionBytesSent"`
	ConnectionBytesReceived uint64 `json:"connectionBytesReceived"`
}

// counter counts messages and their bytes.
type counter struct{ messages, bytes atomic.Uint64 }

func (c *counter) add(size int) {
	c.messages.Add(1)
	c.bytes.Add(uint64(size))
}

// Traffic counts the control traffic of one process. It is safe for
// concurrent use; the zero value is ready to use.
type Traffic struct {
	sent, received                     [messageKinds]counter
	connectionSent, connectionReceived atomic.Uint64
}

// Totals returns the traffic counted so far.
func (t *Traffic) Totals() Totals {
	totals := Totals{
		Sent:                    map[string]Count{},
		Received:                map[string]Count{},
		ConnectionBytesSent:     t.connectionSent.Load(),
		ConnectionBytesReceived: t.connectionReceived.Load(),
	}
	for kind := range messageKinds {
		addCount(totals.Sent, kind, &t.sent[kind])
		addCount(totals.Received, kind, &t.received[kind])
	}
	return totals
}

// addCount adds the count of a kind to counts, unless it is zero.
func addCount(counts map[string]Count, kind MessageKind, counted *counter) {
	if messages := counted.messages.Load(); messages > 0 {
		counts[kind.String()] = Count{Messages: messages, Bytes: counted.bytes.Load()}
	}
}

var (
	messagesDescription = prometheus.NewDesc("kestrel_control_messages_total",
		"Control messages by kind and direction.", []string{"kind", "direction"}, nil)
	bytesDescription = prometheus.NewDesc("kestrel_control_bytes_total",
		"Encoded and compressed control message bytes by kind and direction.", []string{"kind", "direction"}, nil)
	connectionDescription = prometheus.NewDesc("kestrel_control_connection_bytes_total",
		"Every byte on control connections by direction, HTTP framing included.", []string{"direction"}, nil)
)

// Describe implements prometheus.Collector.
func (t *Traffic) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- messagesDescription
	descriptions <- bytesDescription
	descriptions <- connectionDescription
}

// Collect implements prometheus.Collector.
func (t *Traffic) Collect(metrics chan<- prometheus.Metric) {
	totals := t.Totals()
	for direction, counts := range map[string]map[string]Count{"sent": totals.Sent, "received": totals.Received} {
		for kind, count := range counts {
			metrics <- prometheus.MustNewConstMetric(messagesDescription, prometheus.CounterValue, float64(count.Messages), kind, direction)
			metrics <- prometheus.MustNewConstMetric(bytesDescription, prometheus.CounterValue, float64(count.Bytes), kind, direction)
		}
	}
	metrics <- prometheus.MustNewConstMetric(connectionDescription, prometheus.CounterValue, float64(totals.ConnectionBytesSent), "sent")
	metrics <- prometheus.MustNewConstMetric(connectionDescription, prometheus.CounterValue, float64(totals.ConnectionBytesReceived), "received")
}

// Listener returns a listener that counts the bytes of its connections.
func (t *Traffic) Listener(listener net.Listener) net.Listener {
	return &countingListener{Listener: listener, traffic: t}
}

type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConnection{Conn: connection, traffic: l.traffic}, nil
}

type countingConnection struct {
	net.Conn
	traffic *Traffic
}

func (c *countingConnection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.traffic.connectionReceived.Add(uint64(n))
	return n, err
}

func (c *countingConnection) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.traffic.connectionSent.Add(uint64(n))
	return n, err
}

// countingWriter counts the bytes written to destination.
type countingWriter struct {
	destination interface{ Write([]byte) (int, error) }
	written     int
}

func (w *countingWriter) Write(buffer []byte) (int, error) {
	n, err := w.destination.Write(buffer)
	w.written += n
	return n, err
}

// take returns the number of bytes written since the last call.
func (w *countingWriter) take() int {
	written := w.written
	w.written = 0
	return written
}
