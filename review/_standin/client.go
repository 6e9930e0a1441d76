package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// call is a request of a client and its answer.
type call struct {
	id, method, path, host string
	deadline               time.Duration
	body                   []byte
	header                 http.Header

	sentAt, endedAt time.Time
	status          int // 0 without an answer
	stamp           string
	answer          []byte
	echoed          string
	retryAfter      string
	err             error // also of a body that broke off
}

// do sends a request over a connection of its own.
func (m *machine) do(ctx context.Context, c *call) *call {
	tr := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer tr.CloseIdleConnections()
	return m.doWith(ctx, tr, c)
}

func (m *machine) doWith(ctx context.Context, tr http.RoundTripper, c *call) *call {
	if c.deadline == 0 {
		c.deadline = 3 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	var body io.Reader
	if c.body != nil {
		body = bytes.NewReader(c.body)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+m.addr("outbound")+c.path, body)
	if err != nil {
		c.err = err
		return c
	}
	for k, v := range c.header {
		req.Header[k] = v
	}
	req.Host = c.host
	req.Header.Set("Request-Id", c.id)
	req.Header.Set("Deadline-Milliseconds", millis(c.deadline))
	c.sentAt = time.Now()
	m.site.rec.note("client sends %s %s %s to %s", c.id, c.method, c.path, m.name)
	resp, err := tr.RoundTrip(req)
	if err == nil {
		c.status, c.stamp, c.echoed, c.retryAfter = resp.StatusCode, resp.Header.Get("Server-Stamp"), resp.Header.Get("Request-Id"), resp.Header.Get("Retry-After")
		c.answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	c.err, c.endedAt = err, time.Now()
	m.site.rec.note("client of %s gets %d, stamp %q, %d bytes, retry-after %s, error %v", c.id, c.status, c.stamp, len(c.answer), c.retryAfter, err)
	return c
}
