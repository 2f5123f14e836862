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
)

// Paths of a backend server's control interface.
const (
	PathAnnouncement = "/savorywing/v1/announcement"
	PathOrder        = "/savorywing/v1/order"
	PathAnnounce     = "/savorywing/v1/announce"
)

// ControlClient asks and orders backend servers.
type ControlClient struct {
	client  *Client
	timeout time.Duration
}

var _ savorywing.BackendControl = (*ControlClient)(nil)

// NewControlClient returns a control client whose calls take at most timeout.
func NewControlClient(client *Client, timeout time.Duration) *ControlClient {
	return &ControlClient{client: client, timeout: timeout}
}

// Poll returns the backend server's own announcement, made after the call began.
func (c *ControlClient) Poll(ctx context.Context, address string) (wire.Announcement, error) {
	var a wire.Announcement
	call := savorywing.Call{Method: fasthttp.MethodGet, Path: PathAnnouncement}
	if err := c.call(ctx, address, call, &a); err != nil {
		return a, fmt.Errorf("ControlClient.Poll: %w", err)
	}
	return a, nil
}

// Order tells a backend server what to hold.
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
	answer, err := c.client.Send(ctx, savorywing.Target{Address: address}, call)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(answer.Stream)
	if closeErr := answer.Stream.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if answer.Status != fasthttp.StatusOK {
		return fmt.Errorf("status %d", answer.Status)
	}
	return json.Unmarshal(text, v)
}
