package controller

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/engine"
)

// orderTimeout bounds the wait for the response to an order.
const orderTimeout = 1 * time.Second

// sendOrder sends an order and returns its outcome, which is OutcomeUnknown if there was no response, and whether the
// server has stated that it is leaving. Each order has a connection of its own, since nothing else tells its reply from that to
// an earlier order.
func (c *Controller) sendOrder(o savorywing.FleetOrder) (outcome savorywing.OrderOutcome, leaving bool) {
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	h := &fasthttp.RequestHeader{}
	h.SetNoDefaultContentType(true)
	body := c.dialect.WriteOrder(o, h)
	response, err := c.engines.Do(ctx, engine.Call{
		Address: o.Address, Header: h, Body: body, HeaderDeadline: c.clock.Now().Add(orderTimeout),
	})
	if err != nil {
		c.log.Warn().Str("event", "orderUnanswered").Str("server", o.Server).Str("action", o.Action.String()).Err(err).Msg("no response to an order")
		return savorywing.OutcomeUnknown, false
	}
	defer response.Close()
	reply, err := io.ReadAll(io.LimitReader(response, maxReplyBytes))
	if err != nil && !errors.Is(err, engine.ErrTruncated) {
		c.log.Warn().Str("event", "orderReplyCut").Str("server", o.Server).Err(err).Msg("the response to an order is incomplete")
	}
	outcome = c.dialect.ReadOrderReply(response.Header.StatusCode())
	if outcome == savorywing.OutcomeConflict || outcome == savorywing.OutcomeUnknown {
		c.log.Warn().Str("event", "orderRefused").Str("server", o.Server).Str("action", o.Action.String()).
			Int("status", response.Header.StatusCode()).Bytes("reply", reply).Msg("an order was not accepted")
	}
	// At another server's address, the statement is not about the server that the order was for.
	return outcome, response.Metadata.Leaving && outcome != savorywing.OutcomeWrongServer
}

// maxReplyBytes bounds how much of the response to an order is read.
const maxReplyBytes = 4 << 10
