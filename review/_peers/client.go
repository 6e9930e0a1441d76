package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%04x%012x", time.Now().UnixNano()&0xffff, lastID.Add(1)) }

func sizeOf(target string) int {
	u, err := url.Parse(target)
	if err != nil {
		return 0
	}
	n, _ := strconv.Atoi(u.Query().Get("size"))
	return n
}

// client sends requests at one agent.
type client struct {
	world    *world
	agent    *agent
	host     string
	rand     *rand.Rand
	key      string
	tenant   string
	deadline int
	stop     <-chan struct{}
	pick     func(c *client) *sent
	leave    float64 // share of the requests that it gives up
	pipe     float64 // share of the connections on which it sends ahead
}

func (c *client) request(method, target string, body []byte, unsafe bool, allowed ...string) *sent {
	return &sent{id: newID(), method: method, target: target, host: c.host, body: body, unsafe: unsafe, agent: c.agent.index, service: c.agent.service, allowed: allowed, tenant: c.tenant, auth: c.key}
}

// bytesOf returns a request as it is sent.
func (c *client) bytesOf(s *sent) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n", s.method, s.target, s.host, s.id, c.deadline)
	if s.auth != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", s.auth)
	}
	switch {
	case len(s.body) == 0 && s.method == "POST":
		b.WriteString("Content-Length: 0\r\n\r\n")
	case len(s.body) == 0:
		b.WriteString("\r\n")
	case c.rand.IntN(2) == 0:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(s.body))
		b.Write(s.body)
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for p := s.body; len(p) > 0; {
			n := min(len(p), 1+c.rand.IntN(20000))
			fmt.Fprintf(&b, "%x\r\n", n)
			b.Write(p[:n])
			b.WriteString("\r\n")
			p = p[n:]
		}
		b.WriteString("0\r\n\r\n")
	}
	return b.Bytes()
}

func (c *client) run() {
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		c.connection()
		time.Sleep(time.Duration(c.rand.IntN(50)) * time.Millisecond)
	}
}

func (c *client) dial() (net.Conn, *bufio.Reader, error) {
	nc, err := net.DialTimeout("tcp", addr(c.agent.ports.callers), time.Second)
	if err != nil {
		return nil, nil, err
	}
	return nc, bufio.NewReaderSize(nc, 32<<10), nil
}

func (c *client) connection() {
	nc, r, err := c.dial()
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer nc.Close()
	for n := 1 + c.rand.IntN(12); n > 0; n-- {
		select {
		case <-c.stop:
			return
		default:
		}
		batch := []*sent{c.pick(c)}
		if c.rand.Float64() < c.pipe {
			for range 1 + c.rand.IntN(3) {
				batch = append(batch, c.pick(c))
			}
		}
		if !c.exchange(nc, r, batch) {
			return
		}
		if c.rand.IntN(4) == 0 {
			time.Sleep(time.Duration(c.rand.IntN(400)) * time.Millisecond)
		}
	}
}

// exchange sends requests and reads their answers; it reports whether the connection can be used on.
func (c *client) exchange(nc net.Conn, r *bufio.Reader, batch []*sent) bool {
	var out []byte
	for _, s := range batch {
		s.at = time.Now()
		c.world.send(s)
		out = append(out, c.bytesOf(s)...)
	}
	limit := time.Now().Add(time.Duration(c.deadline)*time.Millisecond + 2*time.Second)
	_ = nc.SetDeadline(limit)
	leaves := c.rand.Float64() < c.leave
	written := make(chan bool, 1)
	pieces, pause := c.rand.IntN(5) == 0, time.Duration(c.rand.IntN(30))*time.Millisecond
	cut := len(out)
	if leaves && c.rand.IntN(3) == 0 {
		cut = c.rand.IntN(len(out))
	}
	rest := out[:cut]
	first := min(len(rest), 1+c.rand.IntN(len(out)))
	go func() {
		if pieces {
			if _, err := nc.Write(rest[:first]); err != nil {
				written <- false
				return
			}
			time.Sleep(pause)
			rest = rest[first:]
		}
		_, err := nc.Write(rest)
		if err == nil {
			at := time.Now()
			c.world.mu.Lock()
			for _, s := range batch {
				s.whole = at
			}
			c.world.mu.Unlock()
		}
		written <- err == nil
	}()
	if leaves {
		time.Sleep(time.Duration(c.rand.IntN(80)) * time.Millisecond)
		if c.rand.IntN(2) == 0 {
			reset(nc)
		} else {
			nc.Close()
		}
		for _, s := range batch {
			c.world.answered(s, 0, "", "", nil, false, "gave up")
		}
		return false
	}
	for i, s := range batch {
		goesOn := c.read(nc, r, s)
		if !goesOn {
			for _, s := range batch[i+1:] {
				s.behind = true
				c.world.answered(s, 0, "", "", nil, false, "behind a close")
			}
			return false
		}
	}
	select {
	case ok := <-written:
		return ok && r.Buffered() == 0
	case <-time.After(time.Second):
		return false
	}
}

// read reads the answer to a request and reports whether the connection can be used on.
func (c *client) read(nc net.Conn, r *bufio.Reader, s *sent) bool {
	line, err := r.ReadString('\n')
	if err != nil {
		if len(line) > 0 {
			c.world.violate("MIXED: %s got a partial status line %q, then %v", s.id, line, err)
		}
		note("no answer to %s %s %.60s body %d at %s: %v", s.id, s.method, s.target, len(s.body), c.agent.name(), err)
		c.world.answered(s, 0, "", "", nil, false, "no answer")
		return false
	}
	parts := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
	if len(parts) < 2 || parts[0] != "HTTP/1.1" {
		c.world.violate("MIXED: %s got no answer in the protocol: %q", s.id, line)
		return false
	}
	status, _ := strconv.Atoi(parts[1])
	h, err := textproto.NewReader(r).ReadMIMEHeader()
	if err != nil {
		c.world.answered(s, 0, "", "", nil, false, "head broke off")
		return false
	}
	if status/100 == 1 {
		return c.read(nc, r, s)
	}
	var body []byte
	close := strings.EqualFold(h.Get("Connection"), "close")
	switch {
	case s.method == "HEAD" || status == 204 || status == 304:
	case strings.EqualFold(h.Get("Transfer-Encoding"), "chunked"):
		body, err = io.ReadAll(&chunkReader{r: r})
	case h.Get("Content-Length") != "":
		n, _ := strconv.Atoi(h.Get("Content-Length"))
		body = make([]byte, n)
		_, err = io.ReadFull(r, body)
	default:
		body, err = io.ReadAll(r)
		close = true
	}
	if err != nil {
		c.world.count("answer broke off")
		c.world.answered(s, status, h.Get("Server-Stamp"), h.Get("Request-Id"), body, false, "broke off")
		return false
	}
	c.world.answered(s, status, h.Get("Server-Stamp"), h.Get("Request-Id"), body, true, "")
	return !close
}
