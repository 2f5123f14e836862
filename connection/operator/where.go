package operator

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// errNotEntryHost means that another program answers, or a daemon of another role.
var errNotEntryHost = errors.New("this isn't the metrics address of an entry host")

// PathWhere is the path of an entry host's metrics listener at which it explains where a request would go.
const PathWhere = "/where"

// WhereQuery describes a request that isn't sent.
type WhereQuery struct {
	// Host and Path select the route; Route does so by its name.
	Host  string `json:"host,omitempty"`
	Path  string `json:"path,omitempty"`
	Route string `json:"route,omitempty"`
	// Key is the caller's key; Organisation stands for one of its keys.
	Key          string `json:"key,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Model        string `json:"model,omitempty"`
	PromptTokens int    `json:"promptTokens,omitempty"`
	// Parts are the IDs of the prompt's parts.
	Parts []string `json:"parts,omitempty"`
	// TimeoutMs is how long the caller waits; 0 for the route's timeout.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
}

// WhereAnswer is what one entry host would do with a request now.
type WhereAnswer struct {
	// EntryHost is the host that answers.
	EntryHost string `json:"entryHost"`
	// DocumentVersion is the version of the document in force, confirmed as the newest ConfirmedMsAgo milliseconds ago; 0 and -1 without a
	// document.
	DocumentVersion uint64 `json:"documentVersion"`
	ConfirmedMsAgo  int64  `json:"confirmedMsAgo"`
	Route           string `json:"route,omitempty"`
	Organisation    string `json:"organisation,omitempty"`
	Service         string `json:"service,omitempty"`
	Priority        int    `json:"priority"`
	// Verdict is sent, forwarded, waits or rejected. Server is set if it is sent; Reason, Status and RetryAfterMs if it isn't.
	Verdict      string `json:"verdict"`
	Server       string `json:"server,omitempty"`
	PredictedMs  int64  `json:"predictedMs,omitempty"`
	Reason       string `json:"reason,omitempty"`
	Status       int    `json:"status,omitempty"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	// Candidates are the servers of the route's service and model.
	Candidates []WhereCandidate `json:"candidates"`
}

// Verdicts of a WhereAnswer.
const (
	VerdictSent      = "sent"
	VerdictForwarded = "forwarded"
	VerdictWaits     = "waits"
	VerdictRejected  = "rejected"
)

// WhereCandidate is a server as the entry host sees it. Load counts requests of all hosts; those of others are LoadAgeMs old, or unknown if
// that is -1.
type WhereCandidate struct {
	Server        string `json:"server"`
	Address       string `json:"address"`
	DataCentre    string `json:"dataCentre"`
	Load          int    `json:"load"`
	Slots         int    `json:"slots"`
	WaitingTokens int    `json:"waitingTokens"`
	LoadAgeMs     int64  `json:"loadAgeMs"`
	PredictedMs   int64  `json:"predictedMs"`
	// Excluded lists why the server can't get the request, or gets it only if no other one can.
	Excluded []string `json:"excluded,omitempty"`
}

// Where asks an entry host where a request would go.
func (c *Client) Where(q WhereQuery) (WhereAnswer, error) {
	var a WhereAnswer
	text, err := json.Marshal(q)
	if err != nil {
		return a, fmt.Errorf("Client.Where: %w", err)
	}
	status, body, err := c.do(fasthttp.MethodPost, PathWhere, text)
	if err != nil {
		return a, fmt.Errorf("Client.Where: no answer of an entry host at %s: %w", c.address, err)
	}
	if status == fasthttp.StatusNotFound {
		return a, fmt.Errorf("Client.Where: %w: %s", errNotEntryHost, c.address)
	}
	if status != fasthttp.StatusOK {
		return a, fmt.Errorf("Client.Where: %w", statusError(status, body))
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return a, fmt.Errorf("Client.Where: %w: %s: %w", errNotEntryHost, c.address, err)
	}
	return a, nil
}
