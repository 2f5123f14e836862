package controlapi

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// PathStatus is the path of a control host's status, for operators.
const PathStatus = "/v1/status"

// Status is a control host's state.
type Status struct {
	Host string `json:"host"`
	// Leader is the peer address of the leader; empty while none is known.
	Leader  string `json:"leader"`
	Leading bool   `json:"leading"`
	Term    uint64 `json:"term"`
	// Members are the IDs of the members of the replicated log.
	Members []string `json:"members"`
	// Document is the version of the newest document; 0 before the first.
	Document uint64 `json:"document"`
	// Confirmed reports whether a majority has confirmed Evacuated since the call began.
	Confirmed bool `json:"confirmed"`
	// Evacuated lists the evacuated data centres, and EvacuatedAt is the log index of the last change.
	Evacuated   []string `json:"evacuated"`
	EvacuatedAt uint64   `json:"evacuatedAt"`
	// LogFailure is why this host takes no part in the replicated log; empty while it does.
	LogFailure string `json:"logFailure,omitempty"`
}

func (s *Server) writeStatus(r *fasthttp.RequestCtx) {
	b, err := json.Marshal(s.handler.Status(s.ctx))
	if err != nil {
		r.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	r.SetContentType("application/json")
	r.SetBody(b)
}
