package savorywing

import (
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

// CallerMetadata is the content of a caller's request header other than method and path.
type CallerMetadata struct {
	// AttemptID is the caller's own ID of this attempt. It is forwarded unchanged.
	AttemptID string
	// APIKey is the organisation's secret; empty if the request has none.
	APIKey string
	// Timeout is how long the caller waits, counted from when it sent the request; 0 if not stated.
	Timeout time.Duration
	Model   string
	// PromptTokens is the number of prompt tokens, MaxOutputTokens the maximum number of output tokens.
	PromptTokens, MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the number of output tokens; 0 if not stated.
	ExpectedOutputTokens int
	// LastEventID is the id of the last event that the caller has received; negative for a stream from its beginning.
	LastEventID int64
	// SharedParts are the parts of the prompt that other requests may have too, in their order, without the one that
	// belongs to the request or its session alone.
	SharedParts []PromptPart
}

// PromptPart identifies a part of a prompt by its content.
type PromptPart uint64

// MaxSharedParts bounds the parts of a prompt that are told apart.
const MaxSharedParts = 32

// BackendMetadata is what the system adds to the header of a request that it sends to a backend server.
type BackendMetadata struct {
	// RemainingTime is the time remaining until the caller's deadline.
	RemainingTime time.Duration
	// Server is the id of the only backend server that may run the request.
	Server string
	// Organisation is the name of the organisation that the caller's API key belongs to; empty for public routes.
	Organisation string
	// LastEventID is the id of the last event delivered to the caller; negative to start at the first event.
	LastEventID int64
	// Priority is the admission priority at the backend server, 0 the highest; negative if it is left to the backend
	// server.
	Priority int
}

// ResponseMetadata is what the header of a backend server's response states about the attempt.
type ResponseMetadata struct {
	// AttemptID is the caller's attempt ID as echoed by the backend server.
	AttemptID string
	// NotRun is proof that the backend server has not run the request and never will.
	NotRun bool
	// Signed reports whether the response was produced by running the request.
	Signed bool
	// FaultyServer names the backend server at fault as the response does, which is the one that received the request
	// or a member of its group; empty if none is named. The gateway compares it with an address; emulated backend
	// servers state their id.
	FaultyServer string
	// IdleTimeout is how long the connection may stay idle; 0 if not stated.
	IdleTimeout time.Duration
	// Leaving reports whether the backend server says that it is about to stop and wants no new requests.
	Leaving bool
	// ClosedFor is how long the backend server, having rejected this request, wants no further ones from this host; 0
	// if not stated. It is at most MaxClosedFor.
	ClosedFor time.Duration
	// Limited reports whether the backend server states how many requests a second it takes from all hosts together, which
	// is RequestLimit, 0 to MaxRequestLimit.
	Limited      bool
	RequestLimit float64
	// InvalidRequestLimit is the stated value of RequestLimit if it isn't a finite number, or negative.
	InvalidRequestLimit string
	// InvalidClosedFor is the stated value of ClosedFor if it can't be read, is negative or exceeds MaxClosedFor.
	InvalidClosedFor string
}

// MaxClosedFor bounds how long a backend server can close itself for a host with one response.
const MaxClosedFor = 5 * time.Minute

// MaxRequestLimit bounds a backend server's limit, in requests per second.
const MaxRequestLimit = 1e6

// Dialect translates between the types of this package and the protocol of callers and backend servers.
type Dialect interface {
	// ReadCallerMetadata decodes the header of a caller's request.
	ReadCallerMetadata(h *fasthttp.RequestHeader) CallerMetadata
	// WriteBackendMetadata turns the header of a caller's request into the one sent to a backend server, without the length of the
	// body. What the system sets has one line then, whatever the caller has sent. It may be called again on its own result for another
	// attempt. An error means that the header can't be written.
	WriteBackendMetadata(h *fasthttp.RequestHeader, m BackendMetadata) error
	// ReadResponseMetadata decodes the header of a backend server's response.
	ReadResponseMetadata(h *fasthttp.ResponseHeader) ResponseMetadata
	// WriteStatusQuery makes the header a request for a backend server's status: one that needs no slot, and that every backend
	// server answers at once.
	WriteStatusQuery(h *fasthttp.RequestHeader, address string)
	// StripConnectionHeaders removes the headers that concern only the connection to the backend server, and the framing of the
	// body. An error means that the header can't be passed on.
	StripConnectionHeaders(h *fasthttp.ResponseHeader) error
	// WriteErrorHeaders adds the caller's attempt ID to a response that the system itself produces.
	WriteErrorHeaders(h *fasthttp.ResponseHeader, attemptID string)
	// ReadDocument decodes a published document, the catalogue of services, routes and organisations. The error states what
	// is wrong with it.
	ReadDocument(b []byte) (*catalogue.Catalogue, error)
	// IsReadyCheck reports whether a request is a readiness check of the daemon.
	IsReadyCheck(h *fasthttp.RequestHeader) bool
}

// OrderAction is the action that an order requests of a backend server.
type OrderAction int

// Actions of orders.
const (
	// ActionJoin makes the backend server a member of a group.
	ActionJoin OrderAction = iota
	// ActionOpen makes the ready head of a group accept requests.
	ActionOpen
	// ActionClose makes the head of a group finish its pending requests and return to ready.
	ActionClose
	// ActionLeave ends the backend server's membership immediately.
	ActionLeave
	// ActionStage loads a model's weights onto the backend server's host.
	ActionStage
)

// String returns the action's name.
func (a OrderAction) String() string {
	return [...]string{"join", "open", "close", "leave", "stage"}[a]
}

// FleetOrder is one order to a backend server.
type FleetOrder struct {
	Action  OrderAction
	Server  string
	Address string
	Group   string
	Epoch   uint64
	Model   string
	// Members lists the group's backend servers, head first; set only for ActionJoin.
	Members []string
	// FencingToken is the fencing token of the leader that gives the order.
	FencingToken uint64
}

// OrderOutcome is the result of an order.
type OrderOutcome int

// Outcomes of orders.
const (
	// OutcomeAccepted means that the order was accepted.
	OutcomeAccepted OrderOutcome = iota
	// OutcomeAlreadyApplied means that the backend server is already in the ordered state.
	OutcomeAlreadyApplied
	// OutcomeConflict means that the order conflicts with the backend server's state.
	OutcomeConflict
	// OutcomeFenced means that another leader with a higher fencing token has given orders.
	OutcomeFenced
	// OutcomeWrongServer means that another backend server answers at the address.
	OutcomeWrongServer
	// OutcomeUnknown means that the order may take effect now, later or never.
	OutcomeUnknown
)

// String returns the word that logs and metrics use for the outcome.
func (o OrderOutcome) String() string {
	return [...]string{"begun", "holds", "unfit", "fenced", "foreign", "unknown"}[o]
}

// ControlDialect translates the calls of backend servers and operators to the control hosts, and the orders to
// backend servers.
type ControlDialect interface {
	// ReadControlRequest decodes the method and path of a request to a control host.
	ReadControlRequest(method, path []byte) ControlRequest
	// ReadReport decodes the report of the backend server with the id in the path.
	ReadReport(id string, body []byte) (wire.Report, error)
	// WriteReportReply encodes the acknowledgement of a report. Unless address is empty, it asks the backend server to
	// send later reports there.
	WriteReportReply(address string) []byte
	// CheckDocument decodes a document that is to be published, the catalogue of services, routes and organisations. The
	// error states what is wrong with it.
	CheckDocument(b []byte) (*catalogue.Catalogue, error)
	// ReadDocument decodes a document that this or an earlier version has accepted.
	ReadDocument(b []byte) (*catalogue.Catalogue, error)
	// WriteOrder encodes an order as the header and body of a request; it returns the body.
	WriteOrder(o FleetOrder, h *fasthttp.RequestHeader) []byte
	// ReadOrderReply returns the outcome of an order from the HTTP status of the backend server's reply.
	ReadOrderReply(status int) OrderOutcome
}

// ControlOperation is a call that control hosts serve.
type ControlOperation int

// Calls to control hosts.
const (
	ControlUnknown ControlOperation = iota
	ControlReport
	ControlWithdraw
	ControlPublish
	ControlRead
	ControlBeginEvacuation
	ControlFinishEvacuation
)

// ControlRequest is a decoded call to a control host.
type ControlRequest struct {
	Operation ControlOperation
	// Server is the backend server's id; set for ControlReport and ControlWithdraw.
	Server string
	// DataCentre is the name of a data centre; set for ControlBeginEvacuation and ControlFinishEvacuation.
	DataCentre string
}
