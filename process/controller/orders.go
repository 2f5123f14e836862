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

const (
	// orderTime bounds the wait for an answer to an order.
	orderTime = 1 * time.Second
	// orderIdle is how long a connection may have been idle to carry an order.
	orderIdle = 3 * time.Second
)

// deliver sends an order and tells what is known of it then.
func (c *Controller) deliver(o savorywing.FleetOrder) savorywing.OrderOutcome {
	ctx, cancel := context.WithTimeout(c.ctx, orderTime)
	defer cancel()
	h := &fasthttp.RequestHeader{}
	h.SetNoDefaultContentType(true)
	body := c.dialect.WriteOrder(o, h)
	a, err := c.engines.Do(ctx, engine.Call{
		Address: o.Address, Header: h, Body: body, MaxIdle: orderIdle, HeaderDeadline: c.clock.Now().Add(orderTime),
	})
	if err != nil {
		c.log.Warn().Str("event", "orderUnanswered").Str("server", o.Server).Str("action", o.Action.String()).Err(err).Msg("")
		return savorywing.OutcomeUnknown
	}
	defer a.Close()
	text, err := io.ReadAll(io.LimitReader(a, maxReply))
	if err != nil && !errors.Is(err, engine.ErrTruncated) {
		c.log.Warn().Str("event", "orderReplyCut").Str("server", o.Server).Err(err).Msg("")
	}
	outcome := c.dialect.ReadOrderReply(a.Header.StatusCode())
	if outcome == savorywing.OutcomeConflict || outcome == savorywing.OutcomeUnknown {
		c.log.Warn().Str("event", "orderRefused").Str("server", o.Server).Str("action", o.Action.String()).
			Int("status", a.Header.StatusCode()).Bytes("reply", text).Msg("")
	}
	return outcome
}

// maxReply bounds what is read of an answer to an order, in bytes.
const maxReply = 4 << 10
