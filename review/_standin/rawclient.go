package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// conn is a client's connection that is kept for many requests.
type conn struct {
	m  *machine
	nc net.Conn
	r  *bufio.Reader
}

func (m *machine) dial() (*conn, error) {
	nc, err := net.DialTimeout("tcp", m.addr("outbound"), time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{m: m, nc: nc, r: bufio.NewReader(nc)}, nil
}

// head returns the head of a request.
func (c *call) head() string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %s\r\n", c.method, c.path, c.host, c.id, millis(c.deadline))
	for k, vs := range c.header {
		for _, v := range vs {
			s += k + ": " + v + "\r\n"
		}
	}
	if c.body != nil {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	return s + "\r\n"
}

// do sends a request and reads its answer. reusable reports whether the connection may be used on.
func (k *conn) do(c *call) (reusable bool) {
	c.sentAt = time.Now()
	k.m.site.rec.note("client sends %s %s %s to %s", c.id, c.method, c.path, k.m.name)
	_ = k.nc.SetDeadline(c.sentAt.Add(c.deadline))
	_, c.err = io.WriteString(k.nc, c.head()+string(c.body))
	if c.err == nil {
		reusable = k.read(c)
	}
	c.endedAt = time.Now()
	k.m.site.rec.note("client of %s gets %d, stamp %q, %d bytes, error %v", c.id, c.status, c.stamp, len(c.answer), c.err)
	return reusable
}

// read reads the answer to a request that has been sent.
func (k *conn) read(c *call) bool {
	resp, err := http.ReadResponse(k.r, &http.Request{Method: c.method})
	if err != nil {
		c.err = err
		return false
	}
	c.status, c.stamp, c.echoed, c.retryAfter = resp.StatusCode, resp.Header.Get("Server-Stamp"), resp.Header.Get("Request-Id"), resp.Header.Get("Retry-After")
	c.answer, c.err = io.ReadAll(resp.Body)
	return c.err == nil && !resp.Close
}

func (k *conn) close() { _ = k.nc.Close() }
