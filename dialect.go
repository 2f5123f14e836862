package savorywing

import (
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

// CallerMetadata is what the head of a caller's request says besides method, path and body.
type CallerMetadata struct {
	// AttemptID is the caller's own number of this attempt; it is passed on as it came.
	AttemptID string
	// APIKey is the organisation's secret; empty without one.
	APIKey string
	// Timeout is how long the caller waits, counted from sending; 0 if it was not told.
	Timeout time.Duration
	Model   string
	// PromptTokens and MaxOutputTokens are the tokens to read and the most to write.
	PromptTokens, MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the tokens to write; 0 if it was not told.
	ExpectedOutputTokens int
	// LastEventID is the id of the last event that the caller has; negative for a stream from its beginning.
	LastEventID int64
}

// BackendMetadata is what the system adds for the backend server that a request is sent to.
type BackendMetadata struct {
	// RemainingTime is the time that is left for the answer.
	RemainingTime time.Duration
	// Server is the id of the only backend server that may run the request.
	Server string
	// Organisation is the name behind the caller's key; empty for public routes.
	Organisation string
	// LastEventID is the last event delivered; negative to begin at the first.
	LastEventID int64
	// Priority orders admission at the backend server, 0 first; negative leaves it to the backend server.
	Priority int
}

// ResponseMetadata is what the head of a backend server's answer says of the attempt.
type ResponseMetadata struct {
	// AttemptID is the caller's number as the backend server echoes it.
	AttemptID string
	// NotRun proves that the backend server has not run the request and never will.
	NotRun bool
	// Signed tells that the answer was made by running the request.
	Signed bool
	// FaultyServer is the address of the backend server at fault: the one asked, or a member of its group; empty if
	// none is named.
	FaultyServer string
	// IdleTimeout is how long the connection may stay idle; 0 if it was not told.
	IdleTimeout time.Duration
}

// Dialect translates between the system's terms and those of the callers and backend servers around it.
type Dialect interface {
	// ReadCallerMetadata decodes the head of a caller's request.
	ReadCallerMetadata(h *fasthttp.RequestHeader) CallerMetadata
	// WriteBackendMetadata turns a caller's head into the one that a backend server gets. It may be called again
	// on its own result for a further attempt.
	WriteBackendMetadata(h *fasthttp.RequestHeader, e BackendMetadata)
	// ReadResponseMetadata decodes the head of a backend server's answer.
	ReadResponseMetadata(h *fasthttp.ResponseHeader) ResponseMetadata
	// StripConnectionHeaders takes out of a backend server's head what concerns its own connection only.
	StripConnectionHeaders(h *fasthttp.ResponseHeader)
	// WriteErrorHeaders adds the caller's number to an answer that the system makes itself.
	WriteErrorHeaders(h *fasthttp.ResponseHeader, number string)
	// ReadDocument decodes and checks a document. An error says what is wrong with it.
	ReadDocument(b []byte) (*catalogue.Catalogue, error)
	// IsReadyCheck tells whether a request asks for the daemon's readiness.
	IsReadyCheck(h *fasthttp.RequestHeader) bool
}

// OrderAction is what a backend server is told to do.
type OrderAction int

// Actions of orders.
const (
	// ActionJoin makes it a member of a group.
	ActionJoin OrderAction = iota
	// ActionOpen makes the ready head of a group take requests.
	ActionOpen
	// ActionClose makes a head finish what waits and return to ready.
	ActionClose
	// ActionLeave ends its membership at once.
	ActionLeave
	// ActionStage loads a model's weights onto its host.
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
	// Members lists the group's backend servers, head first; only for ActionJoin.
	Members []string
	// FencingToken is the leader's fencing number.
	FencingToken uint64
}

// OrderOutcome is what became of an order.
type OrderOutcome int

// Outcomes of orders.
const (
	// OutcomeAccepted says that it was accepted.
	OutcomeAccepted OrderOutcome = iota
	// OutcomeAlreadyApplied says that the state holds already.
	OutcomeAlreadyApplied
	// OutcomeConflict says that it does not fit the backend server's state.
	OutcomeConflict
	// OutcomeFenced says that another leader with a higher fencing number has given orders.
	OutcomeFenced
	// OutcomeWrongServer says that another backend server has the address.
	OutcomeWrongServer
	// OutcomeUnknown says that it may be carried out now, later or never.
	OutcomeUnknown
)

// String returns the outcome's name.
func (o OrderOutcome) String() string {
	return [...]string{"begun", "holds", "unfit", "fenced", "foreign", "unknown"}[o]
}

// ControlDialect translates what backend servers and operators say to the control hosts.
type ControlDialect interface {
	// ReadControlRequest tells which call a request to a control host is.
	ReadControlRequest(method, path []byte) ControlRequest
	// ReadReport decodes the report of the backend server with the id in the path.
	ReadReport(id string, body []byte) (wire.Report, error)
	// WriteReportReply acknowledges a report; later ones shall go to address unless it is empty.
	WriteReportReply(address string) []byte
	// ReadDocument decodes and checks a document. An error says what is wrong with it.
	ReadDocument(b []byte) (*catalogue.Catalogue, error)
	// WriteOrder encodes an order as the head and body of a request.
	WriteOrder(o FleetOrder, h *fasthttp.RequestHeader) []byte
	// ReadOrderReply decodes a backend server's answer to an order by its status.
	ReadOrderReply(status int) OrderOutcome
}

// ControlOperation is a call that control hosts take.
type ControlOperation int

// Calls to control hosts.
const (
	ControlUnknown ControlOperation = iota
	ControlReport
	ControlWithdraw
	ControlPublish
	ControlRead
)

// ControlRequest is a decoded call to a control host.
type ControlRequest struct {
	Operation ControlOperation
	// Server is the backend server's id for ControlReport and ControlWithdraw.
	Server string
}
