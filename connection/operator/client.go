package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/wire"
)

// ErrNotAccepted says that the system has refused a change; the result tells why.
var ErrNotAccepted = errors.New("not accepted")

// Client calls the operators' interface of one daemon.
type Client struct {
	address string
	token   string
	http    *fasthttp.Client
}

// NewClient returns a client for one daemon's operators' address.
func NewClient(address, token string) *Client {
	return &Client{address: address, token: token, http: &fasthttp.Client{ReadTimeout: commandTimeout + time.Second, WriteTimeout: commandTimeout}}
}

// Get reads a view into v.
func (c *Client) Get(path string, v any) error {
	status, body, err := c.do(fasthttp.MethodGet, path, nil)
	if err != nil {
		return fmt.Errorf("Client.Get: %w", err)
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("Client.Get: %w", problem(status, body))
	}
	return json.Unmarshal(body, v)
}

// Command sends an order; ErrNotAccepted comes with a result that tells why.
func (c *Client) Command(path string, order any) (wire.Result, error) {
	var r wire.Result
	text, err := json.Marshal(order)
	if err != nil {
		return r, fmt.Errorf("Client.Command: %w", err)
	}
	status, body, err := c.do(fasthttp.MethodPost, path, text)
	if err != nil {
		return r, fmt.Errorf("Client.Command: %w", err)
	}
	if status != fasthttp.StatusOK && status != fasthttp.StatusConflict {
		return r, fmt.Errorf("Client.Command: %w", problem(status, body))
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("Client.Command: %w", err)
	}
	if !r.Accepted {
		return r, fmt.Errorf("%w: %s", ErrNotAccepted, r.Reason)
	}
	return r, nil
}

func problem(status int, body []byte) error {
	var p ErrorBody
	if err := json.Unmarshal(body, &p); err != nil || p.Error == "" {
		return fmt.Errorf("status %d", status)
	}
	return fmt.Errorf("status %d: %s", status, p.Error)
}

func (c *Client) do(method, path string, body []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.address + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.SetBody(body)
	if err := c.http.Do(req, resp); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
