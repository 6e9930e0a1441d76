package agent_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/agent"
	"github.com/yuccaport/yuccaport/src/standin"
)

// cutAnswer is a kind of answer that cuttingServer breaks off.
type cutAnswer struct {
	method     string
	head, body string // as sent; %s stands for the ID of the request
	endsWith   bool   // the body ends with the connection, so that only a cut in the head shows
}

const answerFields = "X-Call-Id: %s\r\nX-Proof: s\r\n"

var cutAnswers = map[string]cutAnswer{
	"length":              {"POST", "HTTP/1.1 200 OK\r\n" + answerFields + "Content-Length: 5\r\n\r\n", "hello", false},
	"chunks":              {"POST", "HTTP/1.1 200 OK\r\n" + answerFields + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n", false},
	"trailer":             {"POST", "HTTP/1.1 200 OK\r\n" + answerFields + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n", "5\r\nhello\r\n0\r\nX-T: a\r\n\r\n", false},
	"until close":         {"POST", "HTTP/1.1 200 OK\r\n" + answerFields + "\r\n", "hello", true},
	"no content":          {"POST", "HTTP/1.1 204 No Content\r\n" + answerFields + "\r\n", "", false},
	"HEAD":                {"HEAD", "HTTP/1.1 200 OK\r\n" + answerFields + "Content-Length: 5\r\n\r\n", "", false},
	"behind interim ones": {"POST", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + answerFields + "Content-Length: 5\r\n\r\n", "hello", false},
	"empty body":          {"POST", "HTTP/1.1 200 OK\r\n" + answerFields + "Content-Length: 0\r\n\r\n", "", false},
}

// cuttingServer answers a request for /a/KIND/N with the first N bytes of an answer and closes the
// connection. Health probes succeed.
type cuttingServer struct {
	instance string
	reached  atomic.Int64
}

func (s *cuttingServer) serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = nc.Close() }()
			req, err := http.ReadRequest(bufio.NewReader(nc))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if req.URL.Path == "/health" {
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nX-Instance-Id: "+s.instance+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
				return
			}
			s.reached.Add(1)
			parts := strings.Split(req.URL.Path, "/")
			a := cutAnswers[strings.ReplaceAll(parts[2], "_", " ")]
			n, _ := strconv.Atoi(parts[3])
			text := fmt.Sprintf(a.head, req.Header.Get("X-Call-Id")) + a.body
			_, _ = io.WriteString(nc, text[:min(n, len(text))])
		}()
	}
}

// Guards against an answer that a backend server broke off, in its head or its body, and that reaches
// the caller as a complete success, over the link between two agents.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	c := qt.New(t)
	store := standin.NewRegistryStore()
	l := listen(c)
	server := &cuttingServer{instance: "i-2"}
	go server.serve(l)
	c.Cleanup(func() { _ = l.Close() })
	one := startVM(c, store.View(), "one", startBackend(c, "i-1"), func(a *agent.Agent) { a.Settings.Service = "front" })
	two := startVM(c, store.View(), "two", &backend{instance: "i-2", addr: l.Addr().(*net.TCPAddr).AddrPort()})
	store.Put(testKeys.Config, []byte("1 /a/"))
	two.sendHeartbeat(c, 1, false)
	send := func(kind string, n int) (status int, err error) {
		a := cutAnswers[kind]
		conn, err := net.Dial("tcp", one.callerAddr)
		if err != nil {
			return 0, err
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(eventuallyTimeout))
		_, _ = fmt.Fprintf(conn, "%s /a/%s/%d HTTP/1.1\r\nHost: a.example\r\nX-Call-Id: r-%d\r\nX-Left-Ms: 3000\r\nContent-Length: 0\r\n\r\n", a.method, strings.ReplaceAll(kind, " ", "_"), n, n)
		resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.method})
		if err != nil {
			return 0, err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, err
	}
	eventually(c, "served", func() bool {
		status, err := send("length", 1000)
		return err == nil && status == http.StatusOK
	})
	sent := int64(0)
	var wg sync.WaitGroup
	slots := make(chan struct{}, 2)
	began := server.reached.Load()
	for kind, a := range cutAnswers {
		size := len(fmt.Sprintf(a.head, "r-100"))
		if !a.endsWith {
			size += len(a.body)
		}
		status, err := send(kind, 1000)
		c.Check(err == nil && status/100 == 2, qt.IsTrue, qt.Commentf("%s, whole: %d, %v", kind, status, err))
		sent++
		for n := range size - 2 { // the ID of the shortest requests is two bytes shorter
			sent++
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				status, err := send(kind, n)
				c.Check(err != nil || status/100 != 2, qt.IsTrue, qt.Commentf("%s, %d bytes: %d", kind, n, status))
			})
		}
		wg.Wait()
	}
	reached := server.reached.Load() - began
	c.Check(reached*10 >= sent*9, qt.IsTrue, qt.Commentf("%d of %d requests reached the server", reached, sent))
}
