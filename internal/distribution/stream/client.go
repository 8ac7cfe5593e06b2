package stream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/strictreply"
)

// Timeouts and buffer sizes of the client.
const (
	dialTimeout           = 2 * time.Second
	responseHeaderTimeout = 5 * time.Second
	idleConnectionTimeout = 90 * time.Second
	maximumReasonBytes    = 4 << 10
	initialLineBytes      = 4 << 10
)

// Client opens streams to parents and delivers reports. It is safe for
// concurrent use.
type Client struct {
	httpClient     *http.Client
	scheme         string
	traffic        *Traffic
	acceptEncoding string
	// MaximumMessageBytes limits the size of one decompressed message line.
	MaximumMessageBytes int
}

// Dial opens a connection to a parent.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that uses transport; scheme is "http" or "https".
func NewClient(transport http.RoundTripper, scheme string, traffic *Traffic) *Client {
	return &Client{
		httpClient: &http.Client{
			Transport:     strictreply.CheckReplies(transport),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		scheme:              scheme,
		traffic:             traffic,
		acceptEncoding:      string(EncodingZstd),
		MaximumMessageBytes: DefaultMaximumMessageBytes,
	}
}

// NewTransport returns the HTTP transport for control connections. It counts
// their bytes in traffic. A nil dial means TCP.
func NewTransport(traffic *Traffic, dial Dial) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConnection{Conn: strictreply.NewConn(connection), traffic: traffic}, nil
		},
		DisableCompression:    true,
		ResponseHeaderTimeout: responseHeaderTimeout,
		IdleConnTimeout:       idleConnectionTimeout,
		MaxIdleConnsPerHost:   1,
	}
}

// Stream is an open stream from a parent. Receive must be called from one
// goroutine only; Close may be called from any.
type Stream struct {
	session string
	parents []Parent
	body    io.Closer
	decoder io.ReadCloser
	reader  *bufio.Reader
	counted *countingReader
	traffic *Traffic
	limit   int
	// accounted is the number of body bytes already counted in traffic.
	accounted int
}

// Open opens a stream to the parent at address. If the parent refuses, the error
// wraps a *RefusedError. The stream ends when ctx does.
func (c *Client) Open(ctx context.Context, address string, hello distribution.Hello) (*Stream, error) {
	response, size, err := c.post(ctx, address, PathStream, "", hello)
	if err != nil {
		return nil, trace.Wrap(err, "open stream to %s", address)
	}
	c.traffic.sent[KindHello].add(size)
	if response.StatusCode != http.StatusOK {
		return nil, trace.Wrap(readRefusal(response), "open stream to %s", address)
	}
	counted := &countingReader{source: response.Body}
	encoding := Encoding(response.Header.Get("Content-Encoding"))
	return &Stream{
		session: response.Header.Get(HeaderSession),
		parents: readParents(response.Header),
		body:    response.Body,
		decoder: &lazyDecompressor{encoding: encoding, source: counted},
		counted: counted,
		traffic: c.traffic,
		limit:   c.MaximumMessageBytes,
	}, nil
}

// Report delivers a report for the session to the parent at address. It returns
// the parents that the child may attach to if the parent advertised a changed
// list, and nil otherwise.
func (c *Client) Report(ctx context.Context, address, session string, report distribution.Report) ([]Parent, error) {
	response, size, err := c.post(ctx, address, PathReport, session, report)
	if err != nil {
		return nil, trace.Wrap(err, "report to %s", address)
	}
	c.traffic.sent[KindReport].add(size)
	if response.StatusCode != http.StatusNoContent {
		return nil, trace.Wrap(readRefusal(response), "report to %s", address)
	}
	return readParents(response.Header), trace.Wrap(response.Body.Close(), "report to %s", address)
}

// CloseIdleConnections closes connections that carry no request, so that parents
// need not wait for one when they shut down gracefully.
func (c *Client) CloseIdleConnections() { c.httpClient.CloseIdleConnections() }

// post sends content as JSON and returns the response and the size of the
// request body in bytes.
func (c *Client) post(ctx context.Context, address, path, session string, content any) (*http.Response, int, error) {
	body, err := json.Marshal(content)
	if err != nil {
		return nil, 0, trace.Wrap(err, "encode request")
	}
	target := url.URL{Scheme: c.scheme, Host: address, Path: path}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, 0, trace.Wrap(err, "build request")
	}
	request.Header.Set("User-Agent", "")
	if path == PathStream {
		request.Header.Set("Accept-Encoding", c.acceptEncoding)
	}
	if session != "" {
		request.Header.Set(HeaderSession, session)
	}
	response, err := c.httpClient.Do(request)
	return response, len(body), err
}

// readRefusal reads a refused response into a *RefusedError and closes its body.
func readRefusal(response *http.Response) error {
	defer response.Body.Close()
	reason, err := io.ReadAll(io.LimitReader(response.Body, maximumReasonBytes))
	if err != nil {
		return trace.Wrap(err, "read refusal with status %d", response.StatusCode)
	}
	refusal := &RefusedError{Status: response.StatusCode, Reason: strings.TrimSpace(string(reason))}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	if location, err := url.Parse(response.Header.Get("Location")); err == nil {
		refusal.Redirect = location.Host
	}
	return refusal
}

// Session returns the session ID that reports of this stream carry.
func (s *Stream) Session() string { return s.session }

// Parents returns the parents that the child may attach to, as the parent
// advertised them when it opened the stream.
func (s *Stream) Parents() []Parent { return s.parents }

// Receive returns the next message. It returns io.EOF when the parent closed
// the stream cleanly, and a *MessageTooLargeError for a line above the limit.
func (s *Stream) Receive() (*distribution.Message, error) {
	line, err := s.readLine()
	if err != nil {
		return nil, err
	}
	message := &distribution.Message{}
	if err := json.Unmarshal(line, message); err != nil {
		return nil, trace.Wrap(err, "decode message")
	}
	if err := message.WellFormed(); err != nil {
		return nil, trace.Wrap(err, "decode message")
	}
	s.traffic.received[KindOf(message)].add(s.counted.read - s.accounted)
	s.accounted = s.counted.read
	return message, nil
}

// readLine reads one line of at most limit bytes, including the line end.
func (s *Stream) readLine() ([]byte, error) {
	if s.reader == nil {
		s.reader = bufio.NewReaderSize(s.decoder, initialLineBytes)
	}
	var line []byte
	for {
		part, err := s.reader.ReadSlice('\n')
		if len(line)+len(part) > s.limit {
			return nil, &MessageTooLargeError{Limit: s.limit}
		}
		line = append(line, part...)
		switch {
		case err == nil:
			return line, nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(line) > 0:
			return nil, trace.Wrap(io.ErrUnexpectedEOF, "stream ended within a message")
		default:
			return nil, err
		}
	}
}

// Close ends the stream; a Receive in progress returns an error.
func (s *Stream) Close() error { return s.body.Close() }

// countingReader counts the bytes read from source.
type countingReader struct {
	source io.Reader
	read   int
}

func (r *countingReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	r.read += n
	return n, err
}

// lazyDecompressor opens the decompressor on the first read, because opening it
// may block until the parent's first message arrives.
type lazyDecompressor struct {
	encoding Encoding
	source   io.Reader
	opened   io.ReadCloser
}

func (d *lazyDecompressor) Read(buffer []byte) (int, error) {
	if d.opened == nil {
		opened, err := newDecompressor(d.encoding, d.source)
		if err != nil {
			return 0, trace.Wrap(err, "open decompressor")
		}
		d.opened = opened
	}
	return d.opened.Read(buffer)
}

func (d *lazyDecompressor) Close() error {
	if d.opened == nil {
		return nil
	}
	return d.opened.Close()
}
