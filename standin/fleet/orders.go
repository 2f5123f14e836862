package fleet

import (
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
)

// handleOrder executes one order, at once or after the injected delay.
func (s *Server) handleOrder(ctx *fasthttp.RequestCtx) {
	o, err := s.dialect().ReadOrder(&ctx.Request.Header, ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	o.Members = append([]string(nil), o.Members...)
	s.fleet.mu.Lock()
	delay, leaving := s.faults.OrderDelay, s.faults.StateLeaving
	if leaving {
		s.recordOrderWhileLeaving(o.Action, time.Now())
	}
	s.fleet.mu.Unlock()
	s.dialect().WriteServerNotice(&ctx.Response.Header, leaving, 0)
	if delay > 0 {
		time.AfterFunc(delay, func() { s.executeOrder(o) })
		<-time.After(delay)
		return
	}
	ctx.SetStatusCode(s.executeOrder(o))
}

// recordOrderWhileLeaving counts an order that begins something although the server has stated that it is leaving. The
// caller holds the fleet's mutex.
func (s *Server) recordOrderWhileLeaving(action savorywing.OrderAction, now time.Time) {
	if s.noticeSince.IsZero() {
		s.noticeSince = now
	}
	if now.Sub(s.noticeSince) > noticeGrace && action != savorywing.ActionClose && action != savorywing.ActionLeave {
		s.unwanted++
	}
}

// executeOrder changes the server's state as an order requires and returns the status of the reply.
func (s *Server) executeOrder(o savorywing.FleetOrder) int {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.dead {
		return fasthttp.StatusServiceUnavailable
	}
	if o.Server != "" && o.Server != s.id {
		return fasthttp.StatusMisdirectedRequest
	}
	if o.FencingToken < s.fencingToken {
		return fasthttp.StatusPreconditionFailed
	}
	s.fencingToken = o.FencingToken
	inGroup := s.group == o.Group && s.epoch == o.Epoch
	switch o.Action {
	case savorywing.ActionJoin:
		return s.join(o, inGroup)
	case savorywing.ActionOpen:
		return s.open(inGroup)
	case savorywing.ActionClose:
		if !inGroup || s.state != stateOpen {
			return fasthttp.StatusConflict
		}
		s.state = stateClosing
		go s.closeWhenIdle(o.Group, o.Epoch)
	case savorywing.ActionLeave:
		if !inGroup {
			return fasthttp.StatusConflict
		}
		go f.breakAfterTimeout(s.group, s.epoch)
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
			s.wakeReporter()
		})
	}
	s.wakeReporter()
	return fasthttp.StatusAccepted
}

func (s *Server) join(o savorywing.FleetOrder, inGroup bool) int {
	f := s.fleet
	if o.Epoch < s.highestEpoch {
		return fasthttp.StatusPreconditionFailed
	}
	if inGroup {
		return fasthttp.StatusOK
	}
	m := f.model(o.Model)
	if m == nil {
		return fasthttp.StatusConflict
	}
	f.checkJoin(s, o.Group)
	if s.group != "" {
		go f.breakAfterTimeout(s.group, s.epoch)
	}
	wait := m.ColdLoadTime
	switch {
	case s.lastModel == o.Model:
		wait = rejoinTime
	case s.staged == o.Model:
		wait = m.WarmLoadTime
	}
	s.highestEpoch, s.group, s.epoch, s.model, s.members, s.state = o.Epoch, o.Group, o.Epoch, o.Model, o.Members, stateJoining
	for rank, id := range o.Members {
		if id == s.id {
			s.rank = rank
		}
	}
	time.AfterFunc(wait, func() { s.becomeReady(o) })
	s.wakeReporter()
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
	f.everReady[readyKey(s.id, s.group, s.epoch)] = true
	s.wakeReporter()
}

func (s *Server) open(inGroup bool) int {
	switch {
	case inGroup && s.state == stateOpen:
		return fasthttp.StatusOK
	case !inGroup || s.state != stateReady || s.rank != 0:
		return fasthttp.StatusConflict
	}
	f := s.fleet
	group, epoch := s.group, s.epoch
	time.AfterFunc(f.cfg.Engine.OpenTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if s.group == group && s.epoch == epoch && s.state == stateReady {
			s.state = stateOpen
			s.wakeReporter()
		}
	})
	return fasthttp.StatusAccepted
}

func (s *Server) closeWhenIdle(group string, epoch uint64) {
	for s.inFlight.Load() > 0 && s.ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.group == group && s.epoch == epoch && s.state == stateClosing {
		s.state = stateReady
		s.wakeReporter()
	}
}
