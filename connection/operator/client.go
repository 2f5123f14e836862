package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/connection/httpheader"
	"savorywing.example/savorywing/wire"
)

// ErrNotAccepted means that the system rejected a command; the result carries the reason.
var ErrNotAccepted = errors.New("command not accepted")

// Client is a client of one daemon's operator interface.
type Client struct {
	address string
	token   string
}

// NewClient returns a client for the operator address of one daemon.
func NewClient(address, token string) *Client {
	return &Client{address: address, token: token}
}

const (
	dialTimeout = 3 * time.Second
	// callTimeout is longer than a command may take, so that its outcome arrives.
	callTimeout = commandTimeout + time.Second
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 64 << 20
)

// Get requests a path and decodes the JSON response into v.
func (c *Client) Get(path string, v any) error {
	status, body, err := c.do(fasthttp.MethodGet, path, nil)
	if err != nil {
		return fmt.Errorf("Client.Get: %w", err)
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("Client.Get: %w", statusError(status, body))
	}
	return json.Unmarshal(body, v)
}

// Command sends a command. The error wraps ErrNotAccepted if the command was rejected; the result then carries the
// reason.
func (c *Client) Command(path string, command any) (wire.Result, error) {
	var r wire.Result
	text, err := json.Marshal(command)
	if err != nil {
		return r, fmt.Errorf("Client.Command: %w", err)
	}
	status, body, err := c.do(fasthttp.MethodPost, path, text)
	if err != nil {
		return r, fmt.Errorf("Client.Command: %w", err)
	}
	if status != fasthttp.StatusOK && status != fasthttp.StatusConflict {
		return r, fmt.Errorf("Client.Command: %w", statusError(status, body))
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("Client.Command: %w", err)
	}
	if !r.Accepted {
		return r, fmt.Errorf("%w: %s", ErrNotAccepted, r.Reason)
	}
	return r, nil
}

// statusError returns the error for an unexpected status, with the error text of the body if it has one.
func statusError(status int, body []byte) error {
	var p ErrorBody
	if err := json.Unmarshal(body, &p); err != nil || p.Error == "" {
		return fmt.Errorf("unexpected status %d", status)
	}
	return fmt.Errorf("unexpected status %d: %s", status, p.Error)
}

// do makes a call on a connection of its own and returns the status and the body.
func (c *Client) do(method, path string, body []byte) (int, []byte, error) {
	var req fasthttp.Request
	req.SetRequestURI("http://" + c.address + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.SetBody(body)
	resp, err := httpheader.Call(c.address, &req, dialTimeout, dialTimeout+callTimeout, maxResponseBytes)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), resp.Body(), nil
}
