package savorywing

import (
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

// EmulatorDialect translates for whoever stands on the other side of a Dialect: emulated callers, operators and
// backend servers.
type EmulatorDialect interface {
	// WriteCallerMetadata sets the head of a caller's request.
	WriteCallerMetadata(h *fasthttp.RequestHeader, c CallerMetadata)
	// ReadBackendMetadata decodes what the system adds for a backend server.
	ReadBackendMetadata(h *fasthttp.RequestHeader) BackendMetadata
	// SignResponse marks an answer as made by running a request.
	SignResponse(h *fasthttp.ResponseHeader, number, signature string)
	// MarkNotRun marks an answer as proof that a request has not run; culprit may be empty.
	MarkNotRun(h *fasthttp.ResponseHeader, number, culprit string)
	// IsOrder tells whether a request to a backend server is an order.
	IsOrder(h *fasthttp.RequestHeader) bool
	// ReadOrder decodes an order.
	ReadOrder(h *fasthttp.RequestHeader, body []byte) (FleetOrder, error)
	// WriteReport encodes a report, or a withdrawal if it is gone, as the head and body of a request.
	WriteReport(h *fasthttp.RequestHeader, r wire.Report) []byte
	// ReadReportReply returns where later reports shall go; empty for anywhere.
	ReadReportReply(body []byte) string
	// WritePublish encodes a document as the head and body of an operator's request.
	WritePublish(h *fasthttp.RequestHeader, p catalogue.Document) []byte
	// WriteRead sets the head of an operator's request for the newest document.
	WriteRead(h *fasthttp.RequestHeader)
}
