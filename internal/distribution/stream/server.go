package stream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

// Host is the parent's side of all streams: it admits children, decides which
// messages they are sent and handles their reports.
type Host interface {
	// Attach admits a child and returns its session, or a *RefusedError.
	Attach(ctx context.Context, hello distribution.Hello) (Session, error)
	// Report handles a report for an open session or returns a *RefusedError.
	// It returns the parents to advertise to the child, if they changed.
	Report(ctx context.Context, session string, report distribution.Report) ([]Parent, error)
}

// Session is the session of one admitted child.
type Session interface {
	// ID returns the identifier of the session in reports. It can't be guessed.
	ID() string
	// Parents returns the parents to advertise to the child in addition to
	// those it knows. If there are none, the header is omitted.
	Parents() []Parent
	// Messages returns the channel of messages, which the host closes to end
	// the session. The host sends the next message only after Sent was called.
	Messages() <-chan *EncodedMessage
	// Sent reports to the host that the last message was written to the
	// connection.
	Sent()
	// Detach ends the session after the stream ended.
	Detach()
}

// Authorizer replaces the claims in a child's requests by what its authenticated
// identity allows.
type Authorizer interface {
	// Authorize returns the hello with the node and the entitlement that apply
	// to the authenticated identity of the request, or a *RefusedError.
	Authorize(request *http.Request, hello distribution.Hello) (distribution.Hello, error)
	// AuthorizeReport refuses a report that the authenticated identity of the
	// request may not make, such as one about another node.
	AuthorizeReport(request *http.Request, report distribution.Report) error
}

// Server serves the streams of one parent.
type Server struct {
	host       Host
	authorizer Authorizer
	traffic    *Traffic
	logger     *zap.Logger
	// writeTimeout limits the time to write one message to a child.
	writeTimeout time.Duration
}

// NewServer returns a server that delegates every decision to host.
func NewServer(host Host, authorizer Authorizer, traffic *Traffic, logger *zap.Logger) *Server {
	return &Server{host: host, authorizer: authorizer, traffic: traffic, logger: logger, writeTimeout: defaultWriteTimeout}
}

// Handler returns the HTTP handler for PathStream and PathReport.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathStream, s.serveStream)
	mux.HandleFunc("POST "+PathReport, s.serveReport)
	return mux
}

func (s *Server) serveStream(writer http.ResponseWriter, request *http.Request) {
	hello, err := s.readHello(writer, request)
	if err != nil {
		writeRefusal(writer, "hello", err)
		return
	}
	session, err := s.host.Attach(request.Context(), hello)
	if err != nil {
		writeRefusal(writer, "attach", err)
		return
	}
	defer session.Detach()
	if err := s.sendMessages(writer, request, session); err != nil {
		s.logger.Info("stream ended", zap.String(telemetry.PeerField, hello.Node.Name), telemetry.Error(err))
	}
}

// readHello decodes, validates and authorizes the hello of a request.
func (s *Server) readHello(writer http.ResponseWriter, request *http.Request) (distribution.Hello, error) {
	var hello distribution.Hello
	size, err := readBody(writer, request, maximumHelloBytes, &hello)
	if err != nil {
		return hello, err
	}
	s.traffic.received[KindHello].add(size)
	if err := validateHello(hello); err != nil {
		return hello, err
	}
	return s.authorizer.Authorize(request, hello)
}

func validateHello(hello distribution.Hello) error {
	switch {
	case hello.Node.Name == "":
		return badRequest("node.name is missing")
	case hello.Node.Incarnation == 0:
		return badRequest("node.incarnation is missing")
	case hello.Node.Zone == "":
		return badRequest("node.zone is missing")
	case hello.Kind != distribution.ChildProxy && hello.Kind != distribution.ChildControl:
		return badRequest("kind must be \"proxy\" or \"control\"")
	default:
		return nil
	}
}

// sendMessages answers the request and writes the session's messages until the
// host or the child ends the stream.
func (s *Server) sendMessages(writer http.ResponseWriter, request *http.Request, session Session) error {
	encoding := negotiateEncoding(request.Header)
	header := writer.Header()
	header.Set("Content-Type", "application/jsonl")
	header.Set(HeaderSession, session.ID())
	if err := setParents(header, session.Parents()); err != nil {
		return err
	}
	if encoding != EncodingIdentity {
		header.Set("Content-Encoding", string(encoding))
	}
	controller := http.NewResponseController(writer)
	writer.WriteHeader(http.StatusOK)
	if err := controller.Flush(); err != nil {
		return trace.Wrap(err, "flush stream header")
	}
	counted := &countingWriter{destination: writer}
	compressor, err := newCompressor(encoding, counted)
	if err != nil {
		return trace.Wrap(err, "open compressor")
	}
	defer compressor.Close()
	for {
		select {
		case <-request.Context().Done():
			return trace.Wrap(request.Context().Err(), "child closed the stream")
		case message, open := <-session.Messages():
			if !open {
				return nil
			}
			if err := s.sendMessage(controller, compressor, message); err != nil {
				return err
			}
			s.traffic.sent[KindOf(message.message)].add(counted.take())
			session.Sent()
		}
	}
}

// sendMessage writes one message and flushes it to the connection.
func (s *Server) sendMessage(controller *http.ResponseController, compressor flushWriter, message *EncodedMessage) error {
	line, err := message.Line()
	if err != nil {
		return trace.Wrap(err, "encode message")
	}
	if err := controller.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return trace.Wrap(err, "set write deadline")
	}
	if _, err := compressor.Write(line); err != nil {
		return trace.Wrap(err, "write message")
	}
	if err := compressor.Flush(); err != nil {
		return trace.Wrap(err, "flush compressor")
	}
	return trace.Wrap(controller.Flush(), "flush message")
}

func (s *Server) serveReport(writer http.ResponseWriter, request *http.Request) {
	var report distribution.Report
	size, err := readBody(writer, request, maximumReportBytes, &report)
	if err != nil {
		writeRefusal(writer, "report", err)
		return
	}
	s.traffic.received[KindReport].add(size)
	if err := s.authorizer.AuthorizeReport(request, report); err != nil {
		writeRefusal(writer, "report", err)
		return
	}
	advertised, err := s.host.Report(request.Context(), request.Header.Get(HeaderSession), report)
	if err == nil {
		err = setParents(writer.Header(), advertised)
	}
	if err != nil {
		writeRefusal(writer, "report", err)
		return
	}
	// Reports are frequent and clients don't use the Date header of their
	// responses, so it is omitted.
	writer.Header()["Date"] = nil
	writer.WriteHeader(http.StatusNoContent)
}

// readBody decodes a JSON body of at most limit bytes and returns its size.
func readBody(writer http.ResponseWriter, request *http.Request, limit int64, target any) (int, error) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return 0, &RefusedError{Status: http.StatusRequestEntityTooLarge, Reason: "body exceeds " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	if err != nil {
		return 0, badRequest("body ended early")
	}
	if err := json.Unmarshal(body, target); err != nil {
		return 0, badRequest("body is not valid JSON: " + err.Error())
	}
	return len(body), nil
}

func badRequest(reason string) error {
	return &RefusedError{Status: http.StatusBadRequest, Reason: reason}
}

// writeRefusal writes the response to a refused request. An error that is not a
// *RefusedError becomes status 500.
func writeRefusal(writer http.ResponseWriter, step string, err error) {
	refusal := &RefusedError{Status: http.StatusInternalServerError, Reason: err.Error()}
	errors.As(err, &refusal)
	header := writer.Header()
	header.Set(HeaderError, "step="+step)
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	if refusal.Redirect != "" {
		header.Set("Location", "//"+refusal.Redirect+PathStream)
		writer.WriteHeader(http.StatusTemporaryRedirect)
		return
	}
	http.Error(writer, refusal.Reason, refusal.Status)
}
