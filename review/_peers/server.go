package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a server beside an agent. What it does with a request is said by the request's query.
type server struct {
	agent   *agent
	service string
	world   *world

	mu       sync.Mutex
	l        net.Listener
	conns    map[net.Conn]bool
	instance string
	born     int64
	sequence int64
	draining bool
	silent   bool      // sends no heartbeats
	acked    time.Time // when its leaving was acknowledged
	starts   int
	running  int
	faults   faults
	rand     *rand.Rand
}

// faults are shares of the answers.
type faults struct{ extra, truncate, lose, mute, garbage, shed, early, slow, stall, pour float64 }

func (s *server) start(instance string) {
	l, err := net.Listen("tcp", addr(s.agent.ports.app))
	for i := 0; err != nil && i < 50; i++ {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", addr(s.agent.ports.app))
	}
	must(err)
	s.mu.Lock()
	s.starts++
	if instance == "" {
		instance = fmt.Sprintf("i-%d-%d", s.agent.index, s.starts)
	}
	s.l, s.conns, s.instance, s.born, s.sequence, s.draining, s.running, s.acked = l, map[net.Conn]bool{}, instance, time.Now().UnixMilli(), 0, false, 0, time.Time{}
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.l != l {
				s.mu.Unlock()
				c.Close()
				return
			}
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c, instance, l)
		}
	}()
	s.beat()
}

// end ends the server: its connections are closed and new ones refused.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.l != nil {
		s.l.Close()
		for c := range s.conns {
			c.Close()
		}
		s.l, s.instance = nil, ""
	}
}

var beatClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (s *server) beat() int {
	s.mu.Lock()
	if s.instance == "" || s.silent {
		s.mu.Unlock()
		return 0
	}
	s.sequence++
	state := "ready"
	if s.draining {
		state = "leaving"
	}
	m := map[string]any{"service": s.service, "addr": addr(s.agent.ports.app), "domain": "mid-a", "version": "v1", "slots": int64(12), "state": state, "cold_ms": int64(0), "sequence": s.sequence, "born": s.born}
	instance := s.instance
	s.mu.Unlock()
	status := post(beatClient, "http://"+addr(s.agent.ports.heartbeats)+"/Instances.Heartbeat/"+instance, m)
	if status/100 == 2 && state == "leaving" {
		s.mu.Lock()
		if s.acked.IsZero() && s.instance == instance {
			s.acked = time.Now()
			note("leave of %s acknowledged", instance)
		}
		s.mu.Unlock()
	}
	return status
}

func (s *server) deregister() int {
	s.mu.Lock()
	instance, born := s.instance, s.born
	s.mu.Unlock()
	return post(beatClient, "http://"+addr(s.agent.ports.heartbeats)+"/Instances.Deregister/"+instance, map[string]any{"born": born})
}

func (s *server) heartbeats() {
	for range time.Tick(500 * time.Millisecond) {
		s.beat()
	}
}

// request is what arrived at a server.
type request struct {
	id, method, target, instance, service, caller, tenant, auth string
	body                                                        []byte
	at                                                          time.Time
	deadline                                                    int64
}

func (s *server) serve(c net.Conn, instance string, l net.Listener) {
	defer func() {
		c.Close()
		s.mu.Lock()
		if s.l == l {
			delete(s.conns, c)
		}
		s.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 64<<10)
	for {
		if !s.one(c, r, instance) {
			return
		}
	}
}

func (s *server) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64() < p
}

func (s *server) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

// one serves one request and reports whether the connection goes on.
func (s *server) one(c net.Conn, r *bufio.Reader, instance string) bool {
	line, err := r.ReadString('\n')
	if err != nil {
		return false
	}
	parts := strings.Split(strings.TrimRight(line, "\r\n"), " ")
	if len(parts) != 3 || parts[2] != "HTTP/1.1" {
		s.world.violate("UNASKED: server got no request line: %q", line)
		return false
	}
	h, err := textproto.NewReader(r).ReadMIMEHeader()
	if err != nil {
		return false
	}
	method, target := parts[0], parts[1]
	s.mu.Lock()
	draining, f := s.draining, s.faults
	s.mu.Unlock()
	if target == "/health" && h.Get("Request-Id") == "" {
		status := "200 OK"
		if draining {
			status = "503 Service Unavailable"
		}
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nInstance-Id: %s\r\nServer-Load: 0,0,12\r\nContent-Length: 0\r\n\r\n", status, instance)
		return true
	}
	q := request{id: h.Get("Request-Id"), method: method, target: target, instance: instance, service: s.service, caller: h.Get("Calling-Service"), tenant: h.Get("Tenant"), auth: h.Get("Authorization"), at: time.Now()}
	q.deadline, _ = strconv.ParseInt(h.Get("Deadline-Milliseconds"), 10, 64)
	u, _ := url.Parse(target)
	opt := url.Values{}
	if u != nil {
		opt = u.Query()
	}
	length, _ := strconv.Atoi(h.Get("Content-Length"))
	chunked := strings.EqualFold(h.Get("Transfer-Encoding"), "chunked")
	var src io.Reader = io.LimitReader(r, int64(length))
	if chunked {
		src = &chunkReader{r: r}
	}
	head := func(status string, extra ...string) string {
		return "HTTP/1.1 " + status + "\r\nRequest-Id: " + q.id + "\r\nServer-Load: 1,0,12\r\n" + strings.Join(extra, "")
	}
	long := length > 16<<10 || chunked
	if exp := h.Get("Expected-Instance"); exp != instance {
		_, _ = io.Copy(io.Discard, src)
		fmt.Fprint(c, head("421 Misdirected Request", "Instance-Id: "+instance+"\r\nContent-Length: 0\r\n\r\n"))
		return true
	}
	if long && s.chance(f.early) {
		// A long request is rejected before it is in, and read on later.
		fmt.Fprint(c, head("503 Service Unavailable", "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
		time.Sleep(time.Duration(s.intn(60)) * time.Millisecond)
		b, err := io.ReadAll(src)
		if err == nil && (chunked || len(b) == length) {
			s.world.checkBody("early", q.id, b)
		}
		return err == nil && (chunked || len(b) == length)
	}
	q.body, err = io.ReadAll(src)
	if err != nil || !chunked && len(q.body) != length {
		s.world.partial(q)
		return false
	}
	if s.chance(f.shed) {
		id := head("503 Service Unavailable", "Not-Executed: 1\r\nRetry-After: 0.05\r\n")
		if s.chance(0.3) {
			id = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
		}
		fmt.Fprint(c, id+"Content-Length: 4\r\n\r\nfull")
		return true
	}
	s.world.ran(s, q)
	work, _ := strconv.Atoi(opt.Get("work"))
	d := time.Duration(work) * time.Millisecond
	if f.slow > 1 {
		d = time.Duration(float64(d) * f.slow)
	}
	if limit := time.Duration(q.deadline) * time.Millisecond; q.deadline > 0 && d > limit {
		time.Sleep(limit - time.Since(q.at))
		fmt.Fprint(c, head("504 Gateway Timeout", "Server-Stamp: "+stamp(q.id, instance)+"\r\nContent-Length: 0\r\n\r\n"))
		return true
	}
	time.Sleep(d)
	if st := opt.Get("status"); st != "" {
		fmt.Fprint(c, head(st+" Status", "Server-Stamp: "+stamp(q.id, instance)+"\r\nContent-Length: 3\r\n\r\nbad"))
		return true
	}
	size, _ := strconv.Atoi(opt.Get("size"))
	body := answerBody(q.id, instance, size)
	extra := "Server-Stamp: " + stamp(q.id, instance) + "\r\nInstance-Id: " + instance + "\r\n"
	var out bytes.Buffer
	end := false
	if s.chance(0.05) {
		extra += "Connection: close\r\n"
		end = true
	}
	if s.chance(0.03) {
		out.WriteString("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
	}
	noBody := method == "HEAD"
	if pause, _ := strconv.Atoi(opt.Get("pause")); pause > 0 {
		_, _ = io.WriteString(c, head("200 OK", extra, "Transfer-Encoding: chunked\r\n\r\n"))
		time.Sleep(time.Duration(pause) * time.Millisecond)
		return sendChunks(c, body) && !end
	}
	switch opt.Get("frame") {
	case "chunked":
		out.WriteString(head("200 OK", extra, "Transfer-Encoding: chunked\r\n\r\n"))
		for b := body; !noBody; {
			n := min(len(b), 1+s.intn(8000))
			if n == 0 {
				out.WriteString("0\r\n\r\n")
				break
			}
			fmt.Fprintf(&out, "%x\r\n", n)
			out.Write(b[:n])
			out.WriteString("\r\n")
			b = b[n:]
		}
	case "unframed":
		if !noBody {
			out.WriteString(head("200 OK", extra, "\r\n"))
			out.Write(body)
			end = true
			break
		}
		fallthrough
	default:
		out.WriteString(head("200 OK", extra, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))))
		if !noBody {
			out.Write(body)
		}
	}
	b := out.Bytes()
	unframed := opt.Get("frame") == "unframed"
	switch {
	case s.chance(f.mute): // its answer is lost: nothing comes, and the connection stays
		s.world.badRun(q.id)
		_, _ = io.Copy(io.Discard, r)
		return false
	case s.chance(f.pour):
		s.world.badRun(q.id)
		pourOut(c, s.intn(len(pourings)))
		return false
	case s.chance(f.stall):
		s.world.badRun(q.id)
		_, _ = c.Write(b[:len(b)/2])
		_, _ = io.Copy(io.Discard, r)
		return false
	case s.chance(f.lose):
		s.world.badRun(q.id)
		if s.chance(0.5) {
			reset(c)
		}
		return false
	case s.chance(f.truncate):
		s.world.badRun(q.id)
		n := s.intn(len(b))
		_, _ = c.Write(b[:n])
		if unframed || s.chance(0.5) {
			time.Sleep(time.Millisecond)
			reset(c)
		}
		return false
	case s.chance(f.garbage):
		s.world.badRun(q.id)
		_, _ = c.Write([]byte("\x00\x01garbage that is no answer\r\n\r\n" + q.id))
		return s.chance(0.5)
	}
	for len(b) > 0 {
		n := len(b)
		if s.chance(0.2) {
			n = min(n, 1+s.intn(3000))
		}
		if _, err := c.Write(b[:n]); err != nil {
			return false
		}
		b = b[n:]
		if len(b) > 0 && s.chance(0.1) {
			time.Sleep(time.Duration(s.intn(10)) * time.Millisecond)
		}
	}
	if !end && s.chance(f.extra) {
		time.Sleep(time.Duration(s.intn(40)) * time.Millisecond)
		if s.chance(0.5) {
			_, _ = c.Write(out.Bytes())
		} else {
			_, _ = c.Write([]byte("extra bytes\r\n"))
			return s.chance(0.5)
		}
	}
	return !end
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func stamp(id, instance string) string {
	return fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(id+instance)))
}

// answerBody returns the body of an answer.
func answerBody(id, instance string, size int) []byte {
	b := []byte("answer " + id + " " + instance + "\n")
	if size > len(b) {
		r := rand.NewChaCha8([32]byte(bytes.Repeat([]byte(fmt.Sprintf("%-16.16s", id)), 2)))
		more := make([]byte, size-len(b))
		_, _ = r.Read(more)
		b = append(b, more...)
	}
	return b
}

// chunkReader reads a body in chunks strictly.
type chunkReader struct {
	r    *bufio.Reader
	left int
	done bool
}

func (c *chunkReader) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	if c.left == 0 {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return 0, io.ErrUnexpectedEOF
		}
		line = strings.TrimRight(line, "\r\n")
		line, _, _ = strings.Cut(line, ";")
		n, err := strconv.ParseInt(strings.TrimSpace(line), 16, 32)
		if err != nil {
			return 0, fmt.Errorf("chunk size %q", line)
		}
		if n == 0 {
			for {
				l, err := c.r.ReadString('\n')
				if err != nil {
					return 0, io.ErrUnexpectedEOF
				}
				if strings.TrimRight(l, "\r\n") == "" {
					c.done = true
					return 0, io.EOF
				}
			}
		}
		c.left = int(n)
	}
	n, err := c.r.Read(p[:min(len(p), c.left)])
	c.left -= n
	if c.left == 0 && err == nil {
		var crlf [2]byte
		if _, err := io.ReadFull(c.r, crlf[:]); err != nil || string(crlf[:]) != "\r\n" {
			return n, io.ErrUnexpectedEOF
		}
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// sendChunks sends the body of an answer in ten chunks.
func sendChunks(c net.Conn, body []byte) bool {
	var err error
	size := len(body)/10 + 1
	for len(body) > 0 && err == nil {
		n := min(len(body), size)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err == nil
}
