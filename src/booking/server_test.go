package booking

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Answers arrive complete and unchanged, for each way to send a body, and each call runs once.
func TestServeCallAnswers(t *testing.T) {
	b := startBackend(t, &standin.Backend{})
	s := startServer(t, b.Listener, 4, 8)
	tests := map[string]struct {
		method, uri string
		bodySize    int // bytes
		answerSize  int // bytes
		unsized     bool
	}{
		"short answer":            {method: "GET", uri: "/diary"},
		"long answer":             {method: "GET", uri: "/photos?size=3000000", answerSize: 3000000},
		"longest buffered answer": {method: "GET", uri: "/photos?size=65536", answerSize: 65536},
		"head":                    {method: "HEAD", uri: "/diary"},
		"small upload":            {method: "POST", uri: "/orders", bodySize: 100},
		"upload":                  {method: "PUT", uri: "/photos", bodySize: 5 << 20},
		"upload in chunks":        {method: "PUT", uri: "/photos", bodySize: 300000, unsized: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			length := int64(test.bodySize)
			if test.unsized {
				length = -1
			}
			in := newInbound(test.method, test.uri, name, bytes.NewReader(make([]byte, test.bodySize)), length).serve(t, s)
			qt.Assert(t, in.refusal, qt.IsNil)
			qt.Assert(t, in.complete, qt.IsTrue)
			qt.Assert(t, in.reply.Status, qt.Equals, uint16(200))
			path, _, _ := strings.Cut(test.uri, "?")
			switch test.method {
			case "GET":
				qt.Assert(t, bytes.Equal(in.answer.Bytes(), standin.Body("GET", path, name, test.answerSize)), qt.IsTrue)
				qt.Assert(t, in.reply.BodyLength, qt.Equals, int64(in.answer.Len()))
			case "HEAD":
				qt.Assert(t, in.answer.Len(), qt.Equals, 0)
				qt.Assert(t, in.reply.BodyLength > 0, qt.IsTrue)
			default:
				var u standin.Upload
				qt.Assert(t, json.Unmarshal(in.answer.Bytes(), &u), qt.IsNil)
				qt.Assert(t, u.Length, qt.Equals, int64(test.bodySize))
				qt.Assert(t, u.Token, qt.Equals, name)
			}
			qt.Assert(t, b.Runs.Count(name), qt.Equals, 1)
		})
	}
	qt.Assert(t, s.InFlight(), qt.Equals, 0)
	qt.Assert(t, b.Runs.MaxConnections() <= 8, qt.IsTrue)
}

// A refusal states correctly whether the call may have run.
func TestServeCallRefusals(t *testing.T) {
	tests := map[string]struct {
		faults  standin.BackendFaults
		timeout int64 // milliseconds
		target  uint64
		want    wire.Refusal
		runs    int
	}{
		"shed":             {faults: standin.BackendFaults{ShedAll: true}, want: wire.Refusal{Reason: wire.ReasonShed}},
		"truncated answer": {faults: standin.BackendFaults{CutAnswers: true}, want: wire.Refusal{Reason: wire.ReasonCut, MayHaveRun: true}, runs: 1},
		"never answers":    {faults: standin.BackendFaults{AcceptNeverAnswer: true}, timeout: 50, want: wire.Refusal{Reason: wire.ReasonTimeout, MayHaveRun: true}, runs: 1},
		"other member":     {target: 8, want: wire.Refusal{Reason: wire.ReasonWrongMember}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, &standin.Backend{})
			s := startServer(t, b.Listener, 4, 8)
			b.SetFaults(test.faults)
			in := newInbound("GET", "/diary", name, nil, 0)
			in.head.TimeoutMS = test.timeout
			if test.target != 0 {
				in.head.Target = test.target
			}
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			if test.timeout > 0 {
				time.AfterFunc(time.Duration(test.timeout)*time.Millisecond, func() { cancel(context.DeadlineExceeded) })
			}
			s.ServeCall(ctx, in)
			qt.Assert(t, in.reply, qt.IsNil)
			qt.Assert(t, in.refusal.Reason, qt.Equals, test.want.Reason)
			qt.Assert(t, in.refusal.MayHaveRun, qt.Equals, test.want.MayHaveRun)
			qt.Assert(t, b.Runs.Count(name), qt.Equals, test.runs)
			qt.Assert(t, s.InFlight(), qt.Equals, 0)
		})
	}
}

// A call to a backend server that refuses the connection is refused with MayHaveRun not set.
func TestServeCallConnectionRefused(t *testing.T) {
	b := startBackend(t, &standin.Backend{})
	s := startServer(t, b.Listener, 4, 8)
	_ = b.Listener.Close()
	s.pool.close()
	in := newInbound("POST", "/orders", "x", nil, 0).serve(t, s)
	qt.Assert(t, in.refusal.Reason, qt.Equals, wire.ReasonConnect)
	qt.Assert(t, in.refusal.MayHaveRun, qt.IsFalse)
	qt.Assert(t, in.refusal.RetryAfterMS > 0, qt.IsTrue)
}

// The slot of a cancelled call is released when the backend server has stopped running the call, not before.
func TestServeCallCancelledHoldsSlot(t *testing.T) {
	b := startBackend(t, &standin.Backend{Slots: 1, Connections: 4, Work: time.Hour})
	s := startServer(t, b.Listener, 1, 4)
	ctx, cancel := context.WithCancel(context.Background())
	in := newInbound("GET", "/diary", "first", nil, 0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.ServeCall(ctx, in)
	}()
	waitUntil(t, "call is running", func() bool { return b.Runs.Count("first") == 1 })
	cancel()
	<-in.refused
	qt.Assert(t, in.refusal.MayHaveRun, qt.IsTrue)
	<-done
	qt.Assert(t, b.Load().InFlight, qt.Equals, 0)
	qt.Assert(t, s.InFlight(), qt.Equals, 0)
}

// Reserved header fields pass neither from the caller to the backend server nor back, and the parent token is valid only while the call runs.
func TestServeCallReservedFields(t *testing.T) {
	raw := startRawBackend(t)
	s := startServer(t, raw.listener, 4, 8)
	in := newInbound("GET", "/diary", "t", nil, 0)
	in.head.Fields = append(in.head.Fields, wire.Field{Name: "yuccaport-parent", Value: "forged"}, wire.Field{Name: "x-deadline-ms", Value: "1"})
	in.head.TraceID, in.head.Depth, in.head.TimeoutMS = "trace", 3, 5000
	raw.answer = func(head string) string {
		qt.Check(t, strings.Contains(head, "forged"), qt.IsFalse)
		qt.Check(t, strings.Contains(strings.ToLower(head), "x-deadline-ms: 1\r\n"), qt.IsFalse)
		token := field(head, ParentHeader)
		p, ok := s.Parent(token)
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, p.TraceID, qt.Equals, "trace")
		qt.Check(t, p.Depth, qt.Equals, uint8(3))
		qt.Check(t, p.Deadline.IsZero(), qt.IsFalse)
		return "HTTP/1.1 200 OK\r\nYuccaport-Secret: 1\r\nX-Parent: " + token + "\r\nContent-Length: 2\r\n\r\nok"
	}
	in.serve(t, s)
	qt.Assert(t, in.complete, qt.IsTrue)
	qt.Assert(t, in.reply.Fields, qt.HasLen, 1)
	_, ok := s.Parent(in.reply.Fields[0].Value)
	qt.Assert(t, ok, qt.IsFalse)
}

// An answer that ends before its Content-Length, or between two chunks, is never reported as complete.
func TestServeCallTruncatedAnswers(t *testing.T) {
	buffered, streamed := strings.Repeat("x", maxPooledAnswer+1), strings.Repeat("x", maxBufferedAnswer+1)
	tests := map[string]string{
		"within the head":        "HTTP/1.1 200 OK\r\nContent-Le",
		"short body":             "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
		"long body":              fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxBufferedAnswer, buffered),
		"streamed body":          fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*maxBufferedAnswer, streamed),
		"before the first chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"within a chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123",
		"between two chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"within the last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			raw := startRawBackend(t)
			s := startServer(t, raw.listener, 4, 8)
			raw.answer = func(string) string { return answer }
			in := newInbound("GET", "/diary", "t", nil, 0).serve(t, s)
			qt.Assert(t, in.complete, qt.IsFalse)
			qt.Assert(t, in.refusal, qt.IsNotNil)
			qt.Assert(t, in.refusal.MayHaveRun, qt.IsTrue)
		})
	}
}

// Answers are complete in each framing, and an interim 1xx answer is skipped.
func TestServeCallCompleteAnswers(t *testing.T) {
	tests := map[string]string{
		"sized":                     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n12345",
		"chunked":                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n3\r\n345\r\n0\r\n\r\n",
		"until the connection ends": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n12345",
		"after 100 Continue":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n12345",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			raw := startRawBackend(t)
			s := startServer(t, raw.listener, 4, 8)
			raw.answer = func(string) string { return answer }
			in := newInbound("GET", "/diary", "t", nil, 0).serve(t, s)
			qt.Assert(t, in.refusal, qt.IsNil)
			qt.Assert(t, in.complete, qt.IsTrue)
			qt.Assert(t, in.answer.String(), qt.Equals, "12345")
		})
	}
}

// A backend server may answer an upload before it has read the complete body.
func TestServeCallEarlyAnswer(t *testing.T) {
	raw := startRawBackend(t)
	s := startServer(t, raw.listener, 4, 8)
	raw.answer = func(string) string {
		return "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"
	}
	r, w := io.Pipe()
	defer func() { _ = w.Close() }()
	in := newInbound("PUT", "/photos", "t", r, 2*maxBufferedBody).serve(t, s)
	qt.Assert(t, *in.refusal, qt.Equals, wire.Refusal{Reason: wire.ReasonShed, RetryAfterMS: 3000, Load: in.refusal.Load})
}

// A slow upload holds no slot until its body has arrived. An upload that is cut off before that has not run.
func TestServeCallSlowUpload(t *testing.T) {
	b := startBackend(t, &standin.Backend{})
	s := startServer(t, b.Listener, 1, 4)
	for _, length := range []int64{300000, -1} {
		r, w := io.Pipe()
		in := newInbound("PUT", "/photos", "slow", r, length)
		done := make(chan struct{})
		go func() {
			defer close(done)
			in.serve(t, s)
		}()
		_, err := w.Write(make([]byte, 200000))
		qt.Assert(t, err, qt.IsNil)
		read := newInbound("GET", "/diary", "read", nil, 0).serve(t, s) // needs the only slot
		qt.Assert(t, read.complete, qt.IsTrue)
		_, err = w.Write(make([]byte, 100000))
		qt.Assert(t, err, qt.IsNil)
		_ = w.Close()
		<-done
		qt.Assert(t, in.complete, qt.IsTrue, qt.Commentf("%+v", in.refusal))
		var u standin.Upload
		qt.Assert(t, json.Unmarshal(in.answer.Bytes(), &u), qt.IsNil)
		qt.Assert(t, u.Length, qt.Equals, int64(300000))
	}
	r, w := io.Pipe()
	_ = w.CloseWithError(io.ErrUnexpectedEOF)
	cut := newInbound("PUT", "/photos", "cut", r, 300000).serve(t, s)
	qt.Assert(t, cut.refusal.MayHaveRun, qt.IsFalse)
	qt.Assert(t, b.Runs.Count("cut"), qt.Equals, 0)
	qt.Assert(t, s.bodyBuffer.used.Load(), qt.Equals, int64(0))
}

// The part of a body that exceeds the buffer memory is streamed.
func TestBodyBufferMemoryLimit(t *testing.T) {
	var s bodyBuffer
	s.used.Store(maxBufferMemory - 2*bufferChunk)
	body := bytes.Repeat([]byte("0123456789"), 50000)
	b, err := s.read(bytes.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.rest, qt.IsNotNil)
	qt.Assert(t, b.chunks, qt.HasLen, 2)
	got, err := io.ReadAll(b.reader())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(got, body), qt.IsTrue)
	b.release()
	qt.Assert(t, s.used.Load(), qt.Equals, int64(maxBufferMemory-2*bufferChunk))
}
