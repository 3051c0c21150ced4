package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"turmericyoke/internal/gateway/pipe"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// header is what requests and answers have in common.
type header interface {
	Peek(name string) []byte
	Del(name string)
}

// stripHop removes the hop-by-hop headers, and those that the Connection header names.
func stripHop(h header) {
	for name := range strings.SplitSeq(string(h.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// prepare turns the caller's request into the one for endpoints: without the key and hop-by-hop headers.
func prepare(r *pipe.Request) {
	stripHop(&r.HTTPRequest.Header)
	r.HTTPRequest.Header.ResetConnectionClose()
	r.HTTPRequest.Header.Del("Authorization")
	r.HTTPRequest.Header.Del("Expect")
	r.HTTPRequest.Header.Set(pipe.HeaderRequestID, r.ID)
	r.HTTPRequest.SetRequestURI(r.Path)
	r.HTTPRequest.Header.SetHost("endpoint")
}

// setDeadline sets the time that the endpoint has from now.
func setDeadline(r *pipe.Request, now time.Time) {
	left := max(r.Deadline.Sub(now).Milliseconds(), 1)
	var digits [20]byte
	r.HTTPRequest.Header.SetBytesV(pipe.HeaderDeadline, strconv.AppendInt(digits[:0], left, 10))
}

// cleanAnswer removes what only concerned the connection to the endpoint.
func cleanAnswer(out *fasthttp.Response) {
	stripHop(&out.Header)
	out.Header.ResetConnectionClose()
	out.Header.Del(pipe.HeaderNotRun)
	out.Header.Del(pipe.HeaderLeaving)
}
