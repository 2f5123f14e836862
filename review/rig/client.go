package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func bytesReader(b []byte) io.Reader { return bytes.NewReader(b) }

// clients are consumers. Each request goes to an entry host that the provider has in rotation.
type clients struct {
	d      *deployment
	host   string
	key    string
	client *http.Client

	// prefix begins the ids of these clients' requests.
	prefix  string
	next    atomic.Int64
	mu      sync.Mutex
	answers map[int]int
}

func newClients(d *deployment, prefix, host, key string) *clients {
	return &clients{
		d: d, prefix: prefix, host: host, key: key, answers: map[int]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}},
	}
}

// run sends requests of one route at an even rate until ctx ends, and waits for the answers.
func (c *clients) run(ctx context.Context, method, path string, perSecond float64, limit time.Duration) {
	var pending sync.WaitGroup
	defer pending.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			pending.Go(func() { c.send(method, path, limit) })
		}
	}
}

// send sends one request and returns the status; 0 without an answer.
func (c *clients) send(method, path string, limit time.Duration) int {
	id := fmt.Sprintf("%s%06d", c.prefix, c.next.Add(1))
	entry := c.d.entries[rand.IntN(len(c.d.entries))]
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte("order " + id))
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", entry.ip, c.d.callerPort, path), body)
	if err != nil {
		return 0
	}
	req.Host = c.host
	req.Header.Set("X-Savorywing-Attempt-Id", id)
	req.Header.Set("X-Savorywing-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+c.key)
	c.d.record.add("send", "%s %s %s to %s", id, method, path, entry.name)
	status, detail := 0, ""
	resp, err := c.client.Do(req)
	if err == nil {
		status = resp.StatusCode
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if status != http.StatusOK {
			detail = string(bytes.TrimSpace(b))
		}
	} else {
		detail = err.Error()
	}
	c.d.record.add("answer", "%s %d %s", id, status, detail)
	c.mu.Lock()
	c.answers[status]++
	c.mu.Unlock()
	return status
}

// counts returns how many requests were served with success, and how many were sent.
func (c *clients) counts() (served, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for status, n := range c.answers {
		sent += n
		if status == http.StatusOK {
			served += n
		}
	}
	return served, sent
}
