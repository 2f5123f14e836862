package controlapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/httpheader"
	"savorywing.example/savorywing/wire"
)

const (
	// callTimeout is how long a client waits for one control host before it calls the next one.
	callTimeout = time.Second
	// retryInterval is the pause before a client calls the same control host again.
	retryInterval = 200 * time.Millisecond
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 1 << 20
)

// ErrRefused means that a control host has refused an order for good.
var ErrRefused = errors.New("the order was refused")

// Client calls the control hosts of a deployment.
type Client struct {
	dialect   savorywing.OperatorDialect
	addresses []string
}

// NewClient returns a client for the control addresses of one or more control hosts, which it calls in turn.
func NewClient(dialect savorywing.OperatorDialect, addresses []string) *Client {
	return &Client{dialect: dialect, addresses: addresses}
}

// Evacuate begins the evacuation of a data centre, or finishes it, and returns once a control host has acknowledged the order. The error
// wraps ErrRefused if the order can't be obeyed, and the error of ctx if none acknowledged it before ctx ended: the order may then
// take effect or not.
func (c *Client) Evacuate(ctx context.Context, order wire.Evacuate) error {
	var last error
	for i := 0; ; i++ {
		status, body, err := c.call(c.addresses[i%len(c.addresses)], func(h *fasthttp.RequestHeader) { c.dialect.WriteEvacuation(h, order) })
		switch {
		case err != nil:
			last = err
		case status == fasthttp.StatusOK:
			return nil
		case isFinal(status):
			return fmt.Errorf("Client.Evacuate: %w: %s", ErrRefused, body)
		default:
			last = fmt.Errorf("status %d: %s", status, body)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("Client.Evacuate: %w: %w", ctx.Err(), last)
		case <-time.After(retryInterval):
		}
	}
}

// isFinal reports whether no other control host would answer otherwise. One that stops answers 408 to a call that crosses its close.
func isFinal(status int) bool {
	return status >= fasthttp.StatusBadRequest && status < fasthttp.StatusInternalServerError &&
		status != fasthttp.StatusRequestTimeout && status != fasthttp.StatusTooManyRequests
}

// Status returns the first confirmed status of a control host, or, if there is none, any other one.
func (c *Client) Status() (Status, error) {
	var best Status
	var errs []error
	for _, address := range c.addresses {
		status, body, err := c.call(address, func(h *fasthttp.RequestHeader) { h.SetRequestURI(PathStatus) })
		if err == nil && status != fasthttp.StatusOK {
			err = fmt.Errorf("%s: status %d: %s", address, status, body)
		}
		var s Status
		if err == nil {
			err = json.Unmarshal(body, &s)
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if best = s; s.Confirmed {
			return s, nil
		}
	}
	if len(errs) == len(c.addresses) {
		return best, fmt.Errorf("Client.Status: %w", errors.Join(errs...))
	}
	return best, nil
}

func (c *Client) call(address string, write func(h *fasthttp.RequestHeader)) (int, []byte, error) {
	var req fasthttp.Request
	write(&req.Header)
	req.URI().SetScheme("http")
	req.URI().SetHost(address)
	resp, err := httpheader.Call(address, &req, callTimeout, callTimeout, maxResponseBytes)
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", address, err)
	}
	return resp.StatusCode(), resp.Body(), nil
}
