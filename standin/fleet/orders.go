package fleet

import (
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
)

// order takes one order, at once or late.
func (s *Server) order(ctx *fasthttp.RequestCtx) {
	o, err := s.dialect().ReadOrder(&ctx.Request.Header, ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	o.Members = append([]string(nil), o.Members...)
	s.fleet.mu.Lock()
	late := s.faults.OrderDelay
	s.fleet.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() { s.carryOut(o) })
		<-time.After(late)
		return
	}
	ctx.SetStatusCode(s.carryOut(o))
}

// carryOut changes the server's state as an order says and returns the status of the answer.
func (s *Server) carryOut(o savorywing.FleetOrder) int {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.dead {
		return fasthttp.StatusServiceUnavailable
	}
	if o.Server != "" && o.Server != s.id {
		return fasthttp.StatusMisdirectedRequest
	}
	if o.FencingToken < s.fence {
		return fasthttp.StatusPreconditionFailed
	}
	s.fence = o.FencingToken
	in := s.group == o.Group && s.epoch == o.Epoch
	switch o.Action {
	case savorywing.ActionJoin:
		return s.join(o, in)
	case savorywing.ActionOpen:
		return s.open(in)
	case savorywing.ActionClose:
		if !in || s.state != stateOpen {
			return fasthttp.StatusConflict
		}
		s.state = stateClosing
		go s.closeWhenIdle(o.Group, o.Epoch)
	case savorywing.ActionLeave:
		if !in {
			return fasthttp.StatusConflict
		}
		go f.breakLater(s.group, s.epoch)
		s.group, s.epoch, s.members, s.state = "", 0, nil, ""
	case savorywing.ActionStage:
		m := f.model(o.Model)
		if m == nil {
			return fasthttp.StatusBadRequest
		}
		time.AfterFunc(m.ColdLoadTime, func() {
			f.mu.Lock()
			s.staged = o.Model
			f.mu.Unlock()
			s.nudge()
		})
	}
	s.nudge()
	return fasthttp.StatusAccepted
}

func (s *Server) join(o savorywing.FleetOrder, in bool) int {
	f := s.fleet
	if o.Epoch < s.topEpoch {
		return fasthttp.StatusPreconditionFailed
	}
	if in {
		return fasthttp.StatusOK
	}
	m := f.model(o.Model)
	if m == nil {
		return fasthttp.StatusConflict
	}
	f.checkJoin(s, o.Group)
	if s.group != "" {
		go f.breakLater(s.group, s.epoch)
	}
	wait := m.ColdLoadTime
	switch {
	case s.lastModel == o.Model:
		wait = againTime
	case s.staged == o.Model:
		wait = m.WarmLoadTime
	}
	s.topEpoch, s.group, s.epoch, s.model, s.members, s.state = o.Epoch, o.Group, o.Epoch, o.Model, o.Members, stateJoining
	for rank, id := range o.Members {
		if id == s.id {
			s.rank = rank
		}
	}
	time.AfterFunc(wait, func() { s.becomeReady(o) })
	s.nudge()
	return fasthttp.StatusAccepted
}

func (s *Server) becomeReady(o savorywing.FleetOrder) {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.dead || s.group != o.Group || s.epoch != o.Epoch || s.state != stateJoining {
		return
	}
	s.state, s.staged, s.lastModel = stateReady, o.Model, o.Model
	f.readyOnce[readyKey(s.id, s.group, s.epoch)] = true
	s.nudge()
}

func (s *Server) open(in bool) int {
	switch {
	case in && s.state == stateOpen:
		return fasthttp.StatusOK
	case !in || s.state != stateReady || s.rank != 0:
		return fasthttp.StatusConflict
	}
	f := s.fleet
	group, epoch := s.group, s.epoch
	time.AfterFunc(f.cfg.Engine.OpenTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if s.group == group && s.epoch == epoch && s.state == stateReady {
			s.state = stateOpen
			s.nudge()
		}
	})
	return fasthttp.StatusAccepted
}

func (s *Server) closeWhenIdle(group string, epoch uint64) {
	for s.inFlight.Load() > 0 && s.ctx.Err() == nil {
		time.Sleep(closePoll)
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.group == group && s.epoch == epoch && s.state == stateClosing {
		s.state = stateReady
		s.nudge()
	}
}
