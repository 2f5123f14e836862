package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

// Paths of a backend server's control interface.
const (
	PathAnnouncement = "/savorywing/v1/announcement"
	PathOrder        = "/savorywing/v1/order"
	PathAnnounce     = "/savorywing/v1/announce"
)

// maxReplyBytes is the largest body of an answer to a poll or an order. All backend servers are polled at the same time.
const maxReplyBytes = 256 << 10

// ControlClient polls backend servers and sends them orders.
type ControlClient struct {
	client  *Client
	timeout time.Duration
}

var _ savorywing.BackendControl = (*ControlClient)(nil)

// NewControlClient returns a control client. timeout bounds each of its calls, including reading the response.
func NewControlClient(client *Client, timeout time.Duration) *ControlClient {
	return &ControlClient{client: client, timeout: timeout}
}

// Poll returns the backend server's current announcement, made after the call started. The error wraps wire.ErrInvalid for an
// announcement with invalid values.
func (c *ControlClient) Poll(ctx context.Context, address string) (wire.Announcement, error) {
	var a wire.Announcement
	call := savorywing.Call{Method: fasthttp.MethodGet, Path: PathAnnouncement}
	err := c.call(ctx, address, call, &a)
	if err == nil {
		err = a.Validate()
	}
	if err != nil {
		return wire.Announcement{}, fmt.Errorf("ControlClient.Poll: %w", err)
	}
	return a, nil
}

// Order sends a backend server an order, such as to load or unload a model, and returns its reply.
func (c *ControlClient) Order(ctx context.Context, address string, o wire.Order) (wire.OrderReply, error) {
	var r wire.OrderReply
	body, err := json.Marshal(o)
	if err != nil {
		return r, fmt.Errorf("ControlClient.Order: %w", err)
	}
	call := savorywing.Call{Method: fasthttp.MethodPost, Path: PathOrder, ContentType: "application/json", Body: body}
	if err := c.call(ctx, address, call, &r); err != nil {
		return r, fmt.Errorf("ControlClient.Order: %w", err)
	}
	return r, nil
}

func (c *ControlClient) call(ctx context.Context, address string, call savorywing.Call, v any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	call.AttemptID = savorywing.NewID()
	call.FirstByteTimeout = c.timeout
	response, err := c.client.Send(ctx, savorywing.Target{Address: address}, call)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(response.Stream, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		err = errTooLong
		c.client.report(address, call.AttemptID, err)
	}
	if closeErr := response.Stream.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if response.Status != fasthttp.StatusOK {
		return fmt.Errorf("the backend server responded with status %d, want 200", response.Status)
	}
	return codec.DecodeJSON(body, v)
}
