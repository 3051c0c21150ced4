package server

import (
	"io"

	"github.com/valyala/fasthttp"

	"turmericyoke/internal/fault"
)

// readBody reads the whole body into memory, within the limit for one request and the limit for all requests
// in progress. It returns the number of bytes that it reserved of the limit for all requests. The caller must
// release them, even after an error.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) (int64, *fault.Error) {
	length := ctx.Request.Header.ContentLength()
	if length == 0 || !ctx.Request.IsBodyStream() {
		return 0, nil
	}
	limit := s.config.Limits.BodyBytes
	if length > limit {
		return 0, bodyTooLarge(limit)
	}
	reserved := int64(length)
	if length < 0 {
		reserved = int64(limit)
	}
	if s.bufferedBytes.Add(reserved) > s.config.Limits.BufferedBytes {
		return reserved, fault.New(fault.QueueFull, "the bodies of the requests in progress fill the memory for them")
	}
	return reserved, s.readStream(ctx, length, limit)
}

// readStream reads the body and sets it on the request. length is the announced length, or negative if there
// is none.
func (s *Server) readStream(ctx *fasthttp.RequestCtx, length, limit int) *fault.Error {
	body := make([]byte, 0, max(length, 512))
	stream := io.LimitReader(ctx.RequestBodyStream(), int64(limit)+1)
	body, err := appendAll(body, stream)
	if err != nil {
		return fault.New(fault.RequestInvalid, "the body can't be read: %v", err)
	}
	if len(body) > limit {
		return bodyTooLarge(limit)
	}
	if length >= 0 && len(body) != length {
		return fault.New(fault.RequestInvalid, "body of %d bytes: want the announced %d", len(body), length)
	}
	_ = ctx.Request.CloseBodyStream()
	ctx.Request.SetBodyRaw(body)
	return nil
}

// appendAll reads stream to its end and appends the data to body.
func appendAll(body []byte, stream io.Reader) ([]byte, error) {
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

func bodyTooLarge(limit int) *fault.Error {
	return fault.New(fault.RequestTooLarge, "body: want at most %d bytes", limit)
}
