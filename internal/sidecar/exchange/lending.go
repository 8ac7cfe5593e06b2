package exchange

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/emicklei/go-restful/v3"
	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// AskQuota sends a node's question about tenants' limits to a peer.
func (e *Exchanger) AskQuota(ctx context.Context, peer *roster.Record, asked *lending.GrantRequest) (*lending.GrantResponse, error) {
	return e.askGranter(ctx, peer, pathQuota, asked)
}

// AskRepeats sends a node's question about repeats to a peer.
func (e *Exchanger) AskRepeats(ctx context.Context, peer *roster.Record, asked *lending.GrantRequest) (*lending.GrantResponse, error) {
	return e.askGranter(ctx, peer, pathRepeats, asked)
}

func (e *Exchanger) askGranter(ctx context.Context, peer *roster.Record, path string, asked *lending.GrantRequest) (*lending.GrantResponse, error) {
	resp, err := e.send(ctx, peer, path, asked)
	if status := statusError(0); errors.As(err, &status) && status == http.StatusNotFound {
		// A node of the version before lends nothing, and is there all the same.
		return &lending.GrantResponse{Closed: true}, nil
	}
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer := &lending.GrantResponse{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, messageBytes)).Decode(answer); err != nil {
		return nil, trace.Wrap(err, "ask %s for tokens", peer.Node)
	}
	return answer, nil
}

// serveGranter returns what answers peers' questions to a lender.
func serveGranter(lender Granter) restful.RouteFunction {
	return func(request *restful.Request, response *restful.Response) {
		request.Request.Body = http.MaxBytesReader(response.ResponseWriter, request.Request.Body, messageBytes)
		asked := &lending.GrantRequest{}
		err := request.ReadEntity(asked)
		if err == nil {
			err = asked.Validate()
		}
		if err != nil {
			_ = response.WriteErrorString(http.StatusBadRequest, err.Error())
			return
		}
		_ = response.WriteAsJson(lender.Serve(asked))
	}
}
