package ingress

import (
	"context"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/httplog"
)

const (
	streamBufferBytes = 16 << 10
	// maxWriteBytes bounds a write, so that the write timeout applies to a part of a large body and not to all of it.
	maxWriteBytes = 64 << 10
)

// RequestHandler handles a request on a fasthttp.RequestCtx, as a fasthttp.RequestHandler does. ctx is that of Handler.Serve.
// The response is sent after it returns.
type RequestHandler func(ctx context.Context, r *fasthttp.RequestCtx)

// requestHandler is a Handler that consists of RequestHandlers.
type requestHandler struct{ serve, reject RequestHandler }

// NewRequestHandler returns a Handler that serves requests with serve, and rejects with reject those that come too late.
func NewRequestHandler(serve, reject RequestHandler) Handler {
	return requestHandler{serve: serve, reject: reject}
}

// Serve implements Handler.
func (h requestHandler) Serve(ctx context.Context, x savorywing.Exchange) { respond(ctx, x, h.serve) }

// Reject implements Handler.
func (h requestHandler) Reject(x savorywing.Exchange) { respond(context.Background(), x, h.reject) }

// holdKey is the key of a request's Exchange.Require among the values of its fasthttp.RequestCtx.
type holdKey struct{}

// Hold returns the Exchange.Require of a request that a RequestHandler serves; nil without a bound.
func Hold(r *fasthttp.RequestCtx) func(n int) bool {
	hold, _ := r.UserValue(holdKey{}).(func(n int) bool)
	return hold
}

func respond(ctx context.Context, x savorywing.Exchange, handle RequestHandler) {
	var r fasthttp.RequestCtx
	r.Init2(nil, httplog.Discard{}, true)
	if c, ok := x.(*Exchange); ok {
		r.SetRemoteAddr(c.conn.conn.RemoteAddr())
		r.SetUserValue(holdKey{}, c.Require)
	}
	x.HTTPRequest().Header.CopyTo(&r.Request.Header)
	r.Request.SetBodyRaw(x.HTTPRequest().Body())
	handle(ctx, &r)
	if r.Response.IsBodyStream() {
		sendStream(x, &r.Response)
		return
	}
	sendBody(x, &r.Response)
}

// sendBody sends a response whose body is complete. An error means that the caller is gone.
func sendBody(x savorywing.Exchange, resp *fasthttp.Response) {
	body := resp.Body()
	if hasNoBody(resp.StatusCode()) {
		body = nil
	}
	n := min(len(body), maxWriteBytes)
	err := x.Start(&resp.Header, len(body), body[:n])
	if x.HTTPRequest().Header.IsHead() {
		return
	}
	for err == nil && n < len(body) {
		body = body[n:]
		n = min(len(body), maxWriteBytes)
		err = x.Write(body[:n])
	}
}

// sendStream sends a response whose body is a stream, each part as soon as it is read. After an error of the stream the body
// stays without its end, so that the caller can't take it for complete.
func sendStream(x savorywing.Exchange, resp *fasthttp.Response) {
	defer func() { _ = resp.CloseBodyStream() }()
	length, stream := resp.Header.ContentLength(), resp.BodyStream()
	b := make([]byte, streamBufferBytes)
	n, err := stream.Read(b)
	if x.Start(&resp.Header, length, b[:n]) != nil || x.HTTPRequest().Header.IsHead() {
		return
	}
	for err == nil {
		if n, err = stream.Read(b); n > 0 && x.Write(b[:n]) != nil {
			return
		}
	}
	if errors.Is(err, io.EOF) {
		_ = x.Finish(nil) // the caller is gone if it fails
	}
}

// hasNoBody reports whether responses with a status have no body, whatever their header says.
func hasNoBody(status int) bool {
	return status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
