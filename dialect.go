package savorywing

import (
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

// CallerHead is what the head of a caller's request says besides method, path and body.
type CallerHead struct {
	// Number is the caller's own number of this attempt; it is passed on as it came.
	Number string
	// Key is the organisation's secret; empty without one.
	Key string
	// Patience is how long the caller waits, counted from sending; 0 if it was not told.
	Patience time.Duration
	Model    string
	// PromptTokens and AnswerTokens are the tokens to read and the most to write.
	PromptTokens, AnswerTokens int
	// ExpectedAnswer is the caller's estimate of the tokens to write; 0 if it was not told.
	ExpectedAnswer int
	// After is the id of the last event that the caller has; negative for a stream from its beginning.
	After int64
}

// EngineHead is what the system adds for the backend server that a request is sent to.
type EngineHead struct {
	// Left is the time that is left for the answer.
	Left time.Duration
	// Server is the id of the only backend server that may run the request.
	Server string
	// Organisation is the name behind the caller's key; empty for public routes.
	Organisation string
	// After is the last event delivered; negative to begin at the first.
	After int64
	// Urgency orders admission at the backend server, 0 first; negative leaves it to the backend server.
	Urgency int
}

// AnswerHead is what the head of a backend server's answer says of the attempt.
type AnswerHead struct {
	// Number is the caller's number as the backend server echoes it.
	Number string
	// NotRun proves that the backend server has not run the request and never will.
	NotRun bool
	// Signed tells that the answer was made by running the request.
	Signed bool
	// Culprit is the address of the backend server at fault: the one asked, or a member of its group; empty if
	// none is named.
	Culprit string
	// Idle is how long the connection may stay idle; 0 if it was not told.
	Idle time.Duration
}

// Dialect translates between the system's terms and those of the callers and backend servers around it.
type Dialect interface {
	// ReadCaller decodes the head of a caller's request.
	ReadCaller(h *fasthttp.RequestHeader) CallerHead
	// WriteEngine turns a caller's head into the one that a backend server gets. It may be called again
	// on its own result for a further attempt.
	WriteEngine(h *fasthttp.RequestHeader, e EngineHead)
	// ReadAnswer decodes the head of a backend server's answer.
	ReadAnswer(h *fasthttp.ResponseHeader) AnswerHead
	// WriteAnswer takes out of a backend server's head what concerns its own connection only.
	WriteAnswer(h *fasthttp.ResponseHeader)
	// WriteRefusal adds the caller's number to an answer that the system makes itself.
	WriteRefusal(h *fasthttp.ResponseHeader, number string)
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
	// Fence is the leader's fencing number.
	Fence uint64
}

// OrderOutcome is what became of an order.
type OrderOutcome int

// Outcomes of orders.
const (
	// OrderBegun says that it was accepted.
	OrderBegun OrderOutcome = iota
	// OrderHolds says that the state holds already.
	OrderHolds
	// OrderUnfit says that it does not fit the backend server's state.
	OrderUnfit
	// OrderFenced says that another leader with a higher fencing number has given orders.
	OrderFenced
	// OrderForeign says that another backend server has the address.
	OrderForeign
	// OrderUnknown says that it may be carried out now, later or never.
	OrderUnknown
)

// String returns the outcome's name.
func (o OrderOutcome) String() string {
	return [...]string{"begun", "holds", "unfit", "fenced", "foreign", "unknown"}[o]
}

// ControlDialect translates what backend servers and operators say to the control hosts.
type ControlDialect interface {
	// ReadCall tells which call a request to a control host is.
	ReadCall(method, path []byte) ControlCall
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

// ControlAction is a call that control hosts take.
type ControlAction int

// Calls to control hosts.
const (
	CallUnknown ControlAction = iota
	CallReport
	CallWithdraw
	CallPublish
	CallRead
)

// ControlCall is a decoded call to a control host.
type ControlCall struct {
	Action ControlAction
	// Server is the backend server's id for CallReport and CallWithdraw.
	Server string
}
