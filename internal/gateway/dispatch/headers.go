package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"turmericyoke/internal/gateway/pipe"
)

// hopByHopHeaders are the headers that apply to a single connection and aren't forwarded (RFC 9110, section
// 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// messageHeader is the common part of request and response headers.
type messageHeader interface {
	Peek(name string) []byte
	Del(name string)
}

// removeHopByHopHeaders removes the hop-by-hop headers, and those that the Connection header names.
func removeHopByHopHeaders(header messageHeader) {
	for name := range strings.SplitSeq(string(header.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" {
			header.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// prepareRequest turns the caller's request into the request that endpoints receive. It removes the key, the
// Expect header and the hop-by-hop headers, and sets the ID, the path after the pool and the host name.
func prepareRequest(r *pipe.Request) {
	removeHopByHopHeaders(&r.HTTPRequest.Header)
	r.HTTPRequest.Header.ResetConnectionClose()
	r.HTTPRequest.Header.Del("Authorization")
	r.HTTPRequest.Header.Del("Expect")
	r.HTTPRequest.Header.Set(pipe.HeaderRequestID, r.ID)
	r.HTTPRequest.SetRequestURI(r.Path)
	r.HTTPRequest.Header.SetHost("endpoint")
}

// setDeadlineHeader sets the X-Deadline-Ms header to the time left until the deadline, at least 1 ms.
func setDeadlineHeader(r *pipe.Request, now time.Time) {
	left := max(r.Deadline.Sub(now).Milliseconds(), 1)
	var digits [20]byte
	r.HTTPRequest.Header.SetBytesV(pipe.HeaderDeadline, strconv.AppendInt(digits[:0], left, 10))
}

// cleanResponse removes the headers that only apply between the gateway and the endpoint.
func cleanResponse(response *fasthttp.Response) {
	removeHopByHopHeaders(&response.Header)
	response.Header.ResetConnectionClose()
	response.Header.Del(pipe.HeaderNotRun)
	response.Header.Del(pipe.HeaderLeaving)
}
