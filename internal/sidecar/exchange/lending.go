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

// AskQuota sends a node's request for a share of tenants' limits to a peer.
func (e *Exchanger) AskQuota(ctx context.Context, peer *roster.Record, asked *lending.GrantRequest) (*lending.GrantResponse, error) {
	return e.requestGrant(ctx, peer, pathQuota, asked)
}

// AskRepeats sends a node's request for a share of the budget of repeats to a peer.
func (e *Exchanger) AskRepeats(ctx context.Context, peer *roster.Record, asked *lending.GrantRequest) (*lending.GrantResponse, error) {
	return e.requestGrant(ctx, peer, pathRepeats, asked)
}

func (e *Exchanger) requestGrant(ctx context.Context, peer *roster.Record, path string, asked *lending.GrantRequest) (*lending.GrantResponse, error) {
	resp, err := e.send(ctx, peer, path, asked)
	if status := statusError(0); errors.As(err, &status) && status == http.StatusNotFound {
		// A node of the previous version lends nothing, but is reachable all the same.
		return &lending.GrantResponse{Closed: true}, nil
	}
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer := &lending.GrantResponse{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxMessageBytes)).Decode(answer); err != nil {
		return nil, trace.Wrap(err, "request tokens from %s", peer.Node)
	}
	return answer, nil
}

// grantHandler returns the handler of peers' requests to a granter.
func grantHandler(granter Granter) restful.RouteFunction {
	return func(request *restful.Request, response *restful.Response) {
		request.Request.Body = http.MaxBytesReader(response.ResponseWriter, request.Request.Body, maxMessageBytes)
		asked := &lending.GrantRequest{}
		err := request.ReadEntity(asked)
		if err == nil {
			err = asked.Validate()
		}
		if err != nil {
			_ = response.WriteErrorString(http.StatusBadRequest, err.Error())
			return
		}
		_ = response.WriteAsJson(granter.Serve(asked))
	}
}
