package savorywing

import (
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

// OperatorDialect writes the calls of operators to the control hosts.
type OperatorDialect interface {
	// WriteEvacuation makes the header of a request an order to evacuate a data centre, or to finish that.
	WriteEvacuation(h *fasthttp.RequestHeader, order wire.Evacuate)
}

// EmulatorDialect is the counterpart of Dialect and ControlDialect, used by emulated callers, operators and backend
// servers.
type EmulatorDialect interface {
	OperatorDialect
	// WriteCallerMetadata sets the header of a caller's request.
	WriteCallerMetadata(h *fasthttp.RequestHeader, c CallerMetadata)
	// ReadBackendMetadata decodes what the system added to a request to a backend server.
	ReadBackendMetadata(h *fasthttp.RequestHeader) BackendMetadata
	// ReadSharedParts returns the parts of a request's prompt that other requests may have too.
	ReadSharedParts(h *fasthttp.RequestHeader) []PromptPart
	// SignResponse marks a response as produced by running a request.
	SignResponse(h *fasthttp.ResponseHeader, attemptID, signature string)
	// MarkNotRun marks a response as proof that a request has not run; faultyServer may be empty.
	MarkNotRun(h *fasthttp.ResponseHeader, attemptID, faultyServer string)
	// WriteServerNotice adds to a response that the server is leaving, or for how long it is closed for the host that it
	// responds to; 0 for neither.
	WriteServerNotice(h *fasthttp.ResponseHeader, leaving bool, closedFor time.Duration)
	// WriteRequestLimit adds the server's limit in requests per second to a response, as the given text; empty for none.
	WriteRequestLimit(h *fasthttp.ResponseHeader, text string)
	// IsStatusQuery reports whether a request to a backend server asks for its status.
	IsStatusQuery(h *fasthttp.RequestHeader) bool
	// IsOrder reports whether a request to a backend server is an order.
	IsOrder(h *fasthttp.RequestHeader) bool
	// ReadOrder decodes an order.
	ReadOrder(h *fasthttp.RequestHeader, body []byte) (FleetOrder, error)
	// WriteReport encodes a report as the header and body of a request, or a withdrawal if r.Gone is set.
	WriteReport(h *fasthttp.RequestHeader, r wire.Report) []byte
	// ReadReportReply returns the address to which later reports are to be sent; empty if any control host accepts them.
	ReadReportReply(body []byte) string
	// WritePublish encodes a document as the header and body of an operator's request.
	WritePublish(h *fasthttp.RequestHeader, d catalogue.Document) []byte
	// WriteRead sets the header of an operator's request for the newest document.
	WriteRead(h *fasthttp.RequestHeader)
}
