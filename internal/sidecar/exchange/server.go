package exchange

import (
	"math"
	"net/http"
	"strconv"

	"github.com/emicklei/go-restful/v3"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/encoded"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// headerAcceptEncoding requests a compressed response.
const headerAcceptEncoding = "Accept-Encoding"

const (
	// maxMessageBytes bounds one message.
	maxMessageBytes = 4 << 20
	// maxDocumentBytes bounds a configuration fetched from a peer.
	maxDocumentBytes = 16 << 20
)

// Service returns the web service of the peer listener.
func (e *Exchanger) Service() *restful.WebService {
	service := &restful.WebService{}
	service.Path(PathRoot)
	service.Route(service.POST(pathExchange).Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON).To(e.serveExchange))
	service.Route(service.POST(pathNotice).Consumes(restful.MIME_JSON).To(e.serveNotice))
	service.Route(service.GET(pathConfiguration).Produces(restful.MIME_JSON).To(e.serveConfiguration))
	service.Route(service.GET(pathVersion).Produces(restful.MIME_JSON).To(func(_ *restful.Request, response *restful.Response) {
		_ = response.WriteAsJson(&VersionReply{Version: e.options.Configuration.Version(), ProofAge: e.proof.proofAge()})
	}))
	if e.options.Quota != nil {
		service.Route(service.POST(pathQuota).Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON).To(grantHandler(e.options.Quota)))
	}
	if e.options.Repeats != nil {
		service.Route(service.POST(pathRepeats).Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON).To(grantHandler(e.options.Repeats)))
	}
	service.Route(service.GET(pathPing).To(func(_ *restful.Request, response *restful.Response) {
		response.WriteHeader(http.StatusNoContent)
	}))
	return service
}

func (e *Exchanger) serveExchange(request *restful.Request, response *restful.Response) {
	request.Request.Body = http.MaxBytesReader(response.ResponseWriter, request.Request.Body, maxMessageBytes)
	received := &Message{}
	if err := request.ReadEntity(received); err != nil || received.From == nil {
		_ = response.WriteErrorString(http.StatusBadRequest, "from: no exchange message")
		return
	}
	compressFrom := math.MaxInt
	if acceptsGzip(request.Request) {
		compressFrom = encoded.CompressionThreshold
	}
	body, err := encoded.JSON(e.replyTo(received), compressFrom)
	if err != nil {
		e.options.Logger.Error("exchange not answered", zap.Error(err))
		_ = response.WriteErrorString(http.StatusInternalServerError, "exchange: cannot be encoded")
		return
	}
	writeBody(response, body)
}

func (e *Exchanger) serveNotice(request *restful.Request, response *restful.Response) {
	request.Request.Body = http.MaxBytesReader(response.ResponseWriter, request.Request.Body, maxMessageBytes)
	notice := &Notice{}
	if err := request.ReadEntity(notice); err != nil || notice.Record == nil {
		_ = response.WriteErrorString(http.StatusBadRequest, "record: is missing")
		return
	}
	e.handleNotice(notice)
	response.WriteHeader(http.StatusNoContent)
}

// replyTo merges a peer's message and returns the reply: the digests of the buckets of this
// node's roster when the digests of the rosters differ, or the records that the peer lacks
// in the buckets that it found to differ.
func (e *Exchanger) replyTo(received *Message) *Message {
	e.handleMessage(received)
	reply := e.newMessage()
	view := e.options.Roster.View()
	switch {
	case received.comparable():
		reply.Records = missingRecords(view.InBuckets(received.DifferingBuckets, received.BucketCount), received.Records)
	case received.Digest != view.Digest():
		reply.Buckets = view.Buckets(bucketCount(view.Count()))
	}
	return reply
}

// missingRecords returns the own records that are newer than the peer's or missing among them.
func missingRecords(own, peers []*roster.Record) []*roster.Record {
	known := make(map[string]*roster.Record, len(peers))
	for _, record := range peers {
		if record != nil {
			known[record.Node] = record
		}
	}
	var found []*roster.Record
	for _, record := range own {
		if held := known[record.Node]; held == nil || record.Newer(held) {
			found = append(found, record)
		}
	}
	return found
}

// serveConfiguration responds with the change from the version that the peer has to
// the one in force here.
func (e *Exchanger) serveConfiguration(request *restful.Request, response *restful.Response) {
	after, err := strconv.ParseUint(request.QueryParameter(queryAfter), 10, 64)
	if err != nil {
		_ = response.WriteErrorString(http.StatusBadRequest, queryAfter+": is no version")
		return
	}
	if acceptsGzip(request.Request) {
		e.writeEncodedChange(response, after)
		return
	}
	change := e.options.Configuration.ChangeSince(after)
	if change == nil {
		writeNoConfiguration(response)
		return
	}
	_ = response.WriteAsJson(change)
}

func writeNoConfiguration(response *restful.Response) {
	_ = response.WriteErrorString(http.StatusNotFound, "configuration: none is in force")
}

// acceptsGzip reports whether the peer accepts compressed responses. Nodes of the
// previous version do not request them.
func acceptsGzip(r *http.Request) bool {
	return r.Header.Get(headerAcceptEncoding) == encoded.ContentCoding
}

// writeEncodedChange responds with the change from a version to the one in force, compressed when
// it is long.
func (e *Exchanger) writeEncodedChange(response *restful.Response, after uint64) {
	change, err := e.options.Configuration.EncodedChangeSince(after)
	switch {
	case err != nil:
		e.options.Logger.Error("configuration not sent", zap.Error(err))
		_ = response.WriteErrorString(http.StatusInternalServerError, "configuration: cannot be encoded")
		return
	case change == nil:
		writeNoConfiguration(response)
		return
	}
	writeBody(response, change)
}

// writeBody responds with an encoded body.
func writeBody(response *restful.Response, body *encoded.Body) {
	header := response.Header()
	header.Set("Content-Type", restful.MIME_JSON)
	body.SetContentEncoding(header)
	header.Set("Content-Length", strconv.Itoa(len(body.Bytes)))
	_, _ = response.Write(body.Bytes)
}
