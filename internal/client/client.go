// Package client is the client of the resource API. It never claims more than
// it knows: a change whose answer was lost has an unknown outcome, and the same
// operation id asks for it again.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/roundtrip"
	"github.com/kestrelstream/kestrelstream/internal/strictreply"
)

// Defaults of the client.
const (
	// DefaultTimeout bounds one request, watches excepted.
	DefaultTimeout = 10 * time.Second

	maximumAnswerBytes  = 64 << 20
	maximumRefusalBytes = 64 << 10
)

// Errors of the client; test with errors.Is.
var (
	// ErrUnreachable: no connection was had, the request was not run.
	ErrUnreachable = errors.New("client: server not reachable")
	// ErrAnswerLost: the request may or may not have been run.
	ErrAnswerLost = errors.New("client: answer lost")
)

// ProblemError is a refusal by the server.
type ProblemError struct {
	Problem v1.Problem
}

// Error gives the reason and the fields at fault.
func (e *ProblemError) Error() string {
	lines := []string{fmt.Sprintf("%s (status %d, step %s)", e.Problem.Reason, e.Problem.Status, e.Problem.Step)}
	for _, field := range e.Problem.Fields {
		lines = append(lines, field.Error())
	}
	return strings.Join(lines, "\n")
}

// Options tune a client; the zero value is usable.
type Options struct {
	// Timeout bounds one request; zero means DefaultTimeout.
	Timeout time.Duration
	// TLS, when set, is used for servers whose address begins with https.
	TLS *tls.Config
}

// Client speaks to one server. It is safe for concurrent use.
type Client struct {
	base    *url.URL
	timeout time.Duration
	http    *http.Client
}

// New returns a client of a server, given as host:port or as a URL.
func New(server string, options Options) (*Client, error) {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	base, err := url.Parse(server)
	if err != nil || base.Host == "" {
		return nil, trace.BadParameter("server: %q is neither host:port nor a URL", server)
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	transport := &http.Transport{TLSClientConfig: options.TLS}
	return &Client{base: base, timeout: options.Timeout, http: &http.Client{Transport: strictreply.NewTransport(transport)}}, nil
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// List returns the resources of one kind, or of all when the kind is empty.
func (c *Client) List(ctx context.Context, kind resource.Kind) (v1.ResourceList, error) {
	return fetch[v1.ResourceList](ctx, c, "list", nil, v1.PathResources, string(kind))
}

// Get returns one resource. A ProblemError with status 404 means that there is
// none.
func (c *Client) Get(ctx context.Context, key resource.Key) (*v1.Resource, error) {
	return fetch[*v1.Resource](ctx, c, "get", nil, v1.PathResources, string(key.Kind), key.Name)
}

// Status returns what each zone has in force.
func (c *Client) Status(ctx context.Context) (v1.Status, error) {
	return fetch[v1.Status](ctx, c, "status", nil, v1.PathStatus)
}

// Version says whether a version is in force, where not, and why.
func (c *Client) Version(ctx context.Context, version uint64) (v1.VersionStatus, error) {
	return fetch[v1.VersionStatus](ctx, c, "version", nil, v1.PathVersions, strconv.FormatUint(version, 10))
}

// fetch reads one JSON document.
func fetch[Answer any](ctx context.Context, c *Client, step string, query url.Values, path ...string) (Answer, error) {
	var answer Answer
	bounded, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(bounded, http.MethodGet, c.url(query, path...), nil, "")
	if err != nil {
		return answer, c.wrap(step, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, c.wrap(step, problem(response))
	}
	if err := decode(response, &answer); err != nil {
		return answer, c.wrap(step, err)
	}
	return answer, nil
}

// url joins escaped path segments, empty ones left out, and a query.
func (c *Client) url(query url.Values, path ...string) string {
	joined := *c.base
	for _, segment := range path {
		if segment != "" {
			joined = *joined.JoinPath(segment)
		}
	}
	joined.RawQuery = query.Encode()
	return joined.String()
}

// send makes one attempt at a request.
func (c *Client) send(ctx context.Context, method, target string, body []byte, operationID string) (*http.Response, error) {
	followed := &roundtrip.Trace{}
	request, err := http.NewRequestWithContext(followed.Attach(ctx), method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if operationID != "" {
		request.Header.Set(v1.OperationIDHeader, operationID)
	}
	response, err := c.http.Do(request)
	if err == nil {
		return response, nil
	}
	if followed.MayHaveArrived() {
		return nil, fmt.Errorf("%w: %w", ErrAnswerLost, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
}

// decode reads an answer whole.
func decode(response *http.Response, into any) error {
	limited := io.LimitReader(response.Body, maximumAnswerBytes)
	if err := json.NewDecoder(limited).Decode(into); err != nil {
		return fmt.Errorf("%w: status %d: %w", ErrAnswerLost, response.StatusCode, err)
	}
	return nil
}

// problem reads a refusal. One that is not of the API's form, as of a server
// that knows no such caller, is shown as it is.
func problem(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumRefusalBytes))
	if err != nil {
		return fmt.Errorf("%w: status %d: %w", ErrAnswerLost, response.StatusCode, err)
	}
	refused := &ProblemError{}
	if json.Unmarshal(body, &refused.Problem) != nil || refused.Problem.Reason == "" {
		refused.Problem = v1.Problem{Step: "answer", Reason: strings.TrimSpace(string(body))}
	}
	refused.Problem.Status = response.StatusCode
	return refused
}

// wrap adds the step and the peer at which an error arose.
func (c *Client) wrap(step string, err error) error {
	return trace.Wrap(err, "step=%s peer=%s", step, c.base.Host)
}
