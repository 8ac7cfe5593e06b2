package simulation

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/klauspost/compress/gzip"
	"github.com/klauspost/compress/zstd"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
)

// messageKind classifies control traffic.
type messageKind int

const (
	kindHeartbeat messageKind = iota
	kindVersion
	kindSnapshot
	kindDelta
	kindCheckpoint
	kindEntries
	kindEndpoints
	kindStatus
	kindHello
	kindRefusal
	kindReport
	kindReportReply
	kindPoll
	messageKinds
)

var kindNames = [messageKinds]string{
	"heartbeat", "version", "snapshot", "delta", "checkpoint", "entries", "endpoints", "status",
	"hello", "refusal", "report", "report-reply", "poll",
}

// kindOf classifies a message by its largest part.
func kindOf(message *distribution.Message, known uint64) messageKind {
	switch {
	case message.Checkpoint != nil:
		return kindCheckpoint
	case message.Snapshot != nil:
		return kindSnapshot
	case message.Delta != nil:
		return kindDelta
	case len(message.Entries) > 0:
		return kindEntries
	case len(message.Endpoints)+len(message.Heard) > 0:
		return kindEndpoints
	case len(message.Zones) > 0 || len(message.Readers) > 0 || message.Source != nil || message.Goodbye:
		return kindStatus
	case message.Version > known:
		return kindVersion
	default:
		return kindHeartbeat
	}
}

// nodeTraffic is what one node sent and received.
type nodeTraffic struct {
	sent, received [messageKinds]uint64
	messages       [messageKinds]uint64
	// second is the one being counted, current its bytes, worst the most of
	// any, each with its part by kind.
	second, current, worst   uint64
	currentKinds, worstKinds [messageKinds]uint64
}

func (t *nodeTraffic) count(at time.Duration, kind messageKind, size int) {
	if second := uint64(at / time.Second); second != t.second {
		t.closeSecond()
		t.second = second
	}
	t.current += uint64(size)
	t.currentKinds[kind] += uint64(size)
}

func (t *nodeTraffic) closeSecond() {
	if t.current > t.worst {
		t.worst, t.worstKinds = t.current, t.currentKinds
	}
	t.current, t.currentKinds = 0, [messageKinds]uint64{}
}

func (t *nodeTraffic) total() uint64 {
	var total uint64
	for kind := range messageKinds {
		total += t.sent[kind] + t.received[kind]
	}
	return total
}

// account counts bytes at both ends, once measuring has begun.
func (w *World) account(from, to *node, kind messageKind, size int) {
	if w.clock.now < w.measureFrom {
		return
	}
	from.traffic.sent[kind] += uint64(size)
	from.traffic.messages[kind]++
	from.traffic.count(w.clock.now, kind, size)
	to.traffic.received[kind] += uint64(size)
	to.traffic.count(w.clock.now, kind, size)
	w.count.bytes[kind] += uint64(size)
	w.count.messages[kind]++
}

func (w *World) accountMessage(c *connection, message *distribution.Message) {
	kind := kindOf(message, c.sizer.version)
	c.sizer.version = max(c.sizer.version, message.Version)
	w.account(c.parent, c.child, kind, w.sizes.message(c, message, kind))
}

// streamSizer remembers what a stream has carried.
type streamSizer struct {
	// version is the highest sent.
	version uint64
}

// sizes measures messages by their real encoding: the JSON line through the
// real compressor with a flush per message, plus the chunk framing of HTTP.
// The compressor's history is that of one reference stream per parent and kind
// of child, since a compressor for every stream would cost too much; the first
// message of a stream, which carries its source, gets an empty history.
type sizes struct {
	compression string
	references  map[referenceKey]*reference
	// last* remember the message measured last: usually the next is the
	// same one for a sibling.
	last     *distribution.Message
	lastKind messageKind
	lastSize int
	fresh    *reference
}

type referenceKey struct {
	parent *node
	kind   distribution.ChildKind
}

// compressor has its output complete at each Flush.
type compressor interface {
	io.Writer
	Flush() error
	Reset(io.Writer)
}

// reference is one compressed stream whose output is only counted.
type reference struct {
	compressor compressor
	counted    countingWriter
}

type countingWriter struct{ written int }

// Write counts.
func (w *countingWriter) Write(data []byte) (int, error) {
	w.written += len(data)
	return len(data), nil
}

func newSizes(compression string) *sizes {
	return &sizes{compression: compression, references: map[referenceKey]*reference{}, fresh: newReference(compression)}
}

// referenceWindow is the window of the daemons' streams.
const referenceWindow = 32 << 10

func newReference(compression string) *reference {
	r := &reference{}
	switch compression {
	case "zstd":
		encoder, err := zstd.NewWriter(&r.counted, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
			zstd.WithWindowSize(referenceWindow), zstd.WithEncoderCRC(false), zstd.WithLowerEncoderMem(true))
		if err != nil {
			panic("simulation: the compressor's options are constant: " + err.Error())
		}
		r.compressor = encoder
	case "gzip":
		writer, err := gzip.NewWriterLevel(&r.counted, gzip.BestSpeed)
		if err != nil {
			panic("simulation: the compressor's level is constant: " + err.Error())
		}
		r.compressor = writer
	}
	return r
}

// measure returns what a line adds to the stream.
func (r *reference) measure(line []byte) int {
	if r.compressor == nil {
		return framed(len(line))
	}
	before := r.counted.written
	_, _ = r.compressor.Write(line)
	_ = r.compressor.Flush()
	return framed(r.counted.written - before)
}

func (r *reference) restart() {
	if r.compressor != nil {
		r.compressor.Reset(&r.counted)
	}
}

// framed adds the size line and line ends of a chunk.
func framed(size int) int { return size + len(strconv.FormatInt(int64(size), 16)) + 4 }

func encodeLine(value any) []byte {
	line, err := json.Marshal(value)
	if err != nil {
		panic("simulation: messages are plain data and always encode: " + err.Error())
	}
	return append(line, '\n')
}

func (s *sizes) message(c *connection, message *distribution.Message, kind messageKind) int {
	if message == s.last && kind == s.lastKind {
		return s.lastSize
	}
	line := encodeLine(message)
	var size int
	if message.Source != nil {
		s.fresh.restart()
		size = s.fresh.measure(line)
	} else {
		reference := s.reference(c)
		size = reference.measure(line)
		if kind == kindHeartbeat {
			// A heartbeat repeats the line before it.
			size = reference.measure(line)
		}
	}
	s.last, s.lastKind, s.lastSize = message, kind, size
	return size
}

func (s *sizes) reference(c *connection) *reference {
	key := referenceKey{c.parent, distribution.ChildControl}
	if c.child.proxy != nil {
		key.kind = distribution.ChildProxy
	}
	held := s.references[key]
	if held == nil {
		held = newReference(s.compression)
		s.references[key] = held
	}
	return held
}

// The protocol's requests are measured once as the HTTP library writes them.
var (
	helloOverhead    = requestBytes(stream.PathStream) + responseBytes(http.StatusOK)
	reportOverhead   = requestBytes(stream.PathReport)
	reportReplyBytes = responseBytes(http.StatusNoContent)
	refusalBytes     = responseBytes(http.StatusServiceUnavailable)
)

// sessionToken is as long as the daemons' tokens, usualBody as a usual report.
const (
	sessionToken = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
	usualBody    = 100
)

func requestBytes(path string) int {
	request, err := http.NewRequest(http.MethodPost, "http://10.0.0.10:7002"+path, bytes.NewReader(make([]byte, usualBody)))
	if err != nil {
		panic("simulation: a constant request: " + err.Error())
	}
	request.Header.Set("User-Agent", "")
	if path == stream.PathStream {
		request.Header.Set("Accept-Encoding", string(stream.EncodingZstd))
	} else {
		request.Header.Set(stream.HeaderSession, sessionToken)
	}
	counted := &countingWriter{}
	if err := request.Write(counted); err != nil {
		panic("simulation: a request to memory: " + err.Error())
	}
	return counted.written - usualBody
}

func responseBytes(status int) int {
	response := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}}
	if status != http.StatusNoContent {
		response.Header.Set("Date", time.Unix(0, 0).UTC().Format(http.TimeFormat))
	}
	switch status {
	case http.StatusOK:
		response.Header.Set("Content-Type", "application/jsonl")
		response.Header.Set("Content-Encoding", string(stream.EncodingZstd))
		response.Header.Set(stream.HeaderSession, sessionToken)
		response.TransferEncoding = []string{"chunked"}
	case http.StatusServiceUnavailable:
		response.Header.Set("Retry-After", "1")
	}
	counted := &countingWriter{}
	if err := response.Write(counted); err != nil {
		panic("simulation: a response to memory: " + err.Error())
	}
	return counted.written
}

func (s *sizes) hello(hello distribution.Hello) int { return helloOverhead + len(encodeLine(hello)) }

func (s *sizes) report(report distribution.Report) int {
	return reportOverhead + len(encodeLine(report))
}
