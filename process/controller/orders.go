package controller

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/connection/httpheader"
	"savorywing.example/savorywing/wire"
)

// maxWaitingOrders bounds the servers whose newest order waits to be sent.
const maxWaitingOrders = 8192

// queuedOrder is an order that waits to be sent to one incarnation of a server.
type queuedOrder struct {
	order savorywing.FleetOrder
	born  int64
}

// submitOrder queues an order for sendOrders; its outcome arrives as an event. It replaces one that still waits for the server.
func (c *Controller) submitOrder(o savorywing.FleetOrder) {
	c.log.Info().Str("event", "orderSent").Str("action", o.Action.String()).Str("server", o.Server).Str("group", o.Group).
		Str("model", o.Model).Strs("members", o.Members).Uint64("fence", o.FencingToken).Msg("sending an order")
	q := queuedOrder{order: o}
	if s := c.table.Server(o.Server); s != nil {
		q.born = s.Report().Born
	}
	if !c.orders.Put(o.Server, q) {
		c.log.Warn().Str("event", "orderDropped").Str("server", o.Server).Msg("dropped an order, since too many are waiting")
	}
}

// sendOrders sends queued orders, as many at once as the budget of descriptors allows, until the control host stops.
func (c *Controller) sendOrders() {
	free := make(chan struct{}, c.budget.MaxOrders)
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.orders.Ready():
		}
		for c.orders.Len() > 0 {
			select {
			case <-c.ctx.Done():
				return
			case free <- struct{}{}:
			}
			_, list := c.orders.Take(1)
			sending.Go(func() {
				for _, q := range list {
					c.sendQueued(q)
				}
				<-free
			})
		}
	}
}

// sendQueued sends an order, unless this host has lost its lease, or began another term, since the order was planned.
func (c *Controller) sendQueued(q queuedOrder) {
	if !c.mayOrder(q.order.FencingToken) {
		return
	}
	outcome, leaving := c.sendOrder(q.order)
	e := outcomeEvent{order: q.order, outcome: outcome}
	if leaving {
		e.leaving = []wire.ServerIncarnation{{ID: q.order.Server, Born: q.born}}
	}
	c.push(e)
}

// leadsTerm reports whether this host holds the lease of a term.
func (c *Controller) leadsTerm(term uint64) bool {
	return c.node.HasLease() && c.node.Status().Term == term
}

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

// recordRefused counts and logs a response of a backend server to an order that was refused.
func (c *Controller) recordRefused(r httpheader.Refused) {
	c.telemetry.Count("refused_responses", "reason", r.Reason)
	c.log.Warn().Str("event", "responseRefused").Str("address", r.Address).Str("reason", r.Reason).Err(r.Err).
		Msg("a backend server sent bytes that are no response, or not a whole one")
}

// maxReplyBytes bounds how much of the response to an order is read.
const maxReplyBytes = 4 << 10
