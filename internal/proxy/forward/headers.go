package forward

import (
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// hopByHop lists the hop-by-hop headers in canonical form.
var hopByHop = [...]string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// RemoveHopByHop removes the hop-by-hop headers: those in hopByHop and those
// named by the Connection header. "TE: trailers" is kept, since trailers are
// forwarded.
func RemoveHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	wantsTrailers := httpguts.HeaderValuesContainsToken(header["Te"], "trailers")
	for _, name := range hopByHop {
		delete(header, name)
	}
	if wantsTrailers {
		header["Te"] = []string{"trailers"}
	}
}

// WantsUpgrade reports whether the request is a CONNECT or asks for a protocol
// upgrade.
func WantsUpgrade(request *http.Request) bool {
	return request.Method == http.MethodConnect ||
		httpguts.HeaderValuesContainsToken(request.Header["Connection"], "Upgrade") ||
		len(request.Header["Upgrade"]) > 0
}
