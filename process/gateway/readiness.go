package gateway

import (
	"context"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
)

// readiness serves the address of the readiness check, and nothing else. It is apart from the callers' address, where each
// path may be that of a service.
type readiness struct {
	gateway *Gateway
}

// Serve implements ingress.Handler.
func (h readiness) Serve(_ context.Context, x savorywing.Exchange) {
	switch {
	case !h.gateway.dialect.IsReadyCheck(&x.HTTPRequest().Header):
		x.WriteError(savorywing.ErrorResponse{Status: fasthttp.StatusNotFound, Reason: "only the readiness check is served at this address"})
	case h.gateway.isReady():
		x.WriteError(savorywing.ErrorResponse{Status: fasthttp.StatusOK, Reason: "ready"})
	default:
		x.WriteError(savorywing.ErrorResponse{Status: fasthttp.StatusServiceUnavailable, Reason: "not ready"})
	}
}

// Reject implements ingress.Handler. A host that stops is not ready.
func (h readiness) Reject(x savorywing.Exchange) {
	x.WriteError(savorywing.ErrorResponse{Status: fasthttp.StatusServiceUnavailable, Reason: "not ready"})
}
