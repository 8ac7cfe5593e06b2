package notrun

import "net/http"

// Promises reports whether callers take the status for the promise that the request has not run and
// will not run. A proxy sends such a status only with evidence.
func Promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
