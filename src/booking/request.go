package booking

import (
	"errors"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/wire"
)

const ownPrefix = "Yuccaport-" // of header fields that are never taken from outside

var errTimeout = os.ErrDeadlineExceeded

// send writes the request; a long body goes on being written beside the wait for the answer.
func (x *exchange) send() error {
	req := fasthttp.AcquireRequest()
	x.fill(req)
	n := x.head.BodyLength
	if n != 0 {
		req.SetBodyStream(&uploadBody{r: x.body, w: x.conn.w}, int(n))
	}
	if n >= 0 && n <= inlineBody {
		return x.write(req)
	}
	x.upload = make(chan error, 1)
	upload := x.upload
	go func() { upload <- x.write(req) }()
	return nil
}

func (x *exchange) write(req *fasthttp.Request) error {
	defer fasthttp.ReleaseRequest(req)
	if err := req.Write(x.conn.w); err != nil {
		return err
	}
	return x.conn.w.Flush()
}

// fill sets the request line and the header fields.
func (x *exchange) fill(req *fasthttp.Request) {
	h := &req.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	req.UseHostHeader = true
	h.SetMethod(x.head.Method)
	h.SetRequestURI(x.head.URI)
	for _, f := range x.head.Fields {
		if !isOwn(f.Name) && !strings.EqualFold(f.Name, TimeoutHeader) {
			h.Add(f.Name, f.Value)
		}
	}
	h.SetHost(x.host())
	h.Set(ParentHeader, x.token)
	if x.head.TimeoutMS > 0 {
		h.Set(TimeoutHeader, strconv.FormatInt(max(1, (x.timeout()-x.s.Now().Sub(x.arrived)).Milliseconds()), 10))
	}
}

func (x *exchange) host() string {
	if x.head.Host != "" {
		return x.head.Host
	}
	return x.head.Service
}

func isOwn(name string) bool {
	return len(name) >= len(ownPrefix) && strings.EqualFold(name[:len(ownPrefix)], ownPrefix)
}

// readHead reads the head of the answer; a backend server may answer before it has read the whole request.
func (x *exchange) readHead(sendErr error) error {
	for {
		if err := x.resp.Header.Read(x.conn.r); err != nil {
			return errors.Join(sendErr, err)
		}
		if x.resp.StatusCode() >= fasthttp.StatusOK || x.resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
}

// isShed tells whether the backend server says that it has not begun to run the request.
func (x *exchange) isShed() bool {
	return x.resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(x.resp.Header.Peek(NotRunHeader)) == "1"
}

// replyHead returns the head of the answer for the caller's daemon.
func (x *exchange) replyHead(length int64) wire.ReplyHead {
	h := wire.ReplyHead{Status: uint16(x.resp.StatusCode()), BodyLength: length, Load: x.s.Load()}
	h.Fields = make([]wire.Field, 0, x.resp.Header.Len())
	for k, v := range x.resp.Header.All() {
		if name := string(k); !isOwn(name) && !isFraming(name) {
			h.Fields = append(h.Fields, wire.Field{Name: name, Value: string(v)})
		}
	}
	return h
}

func isFraming(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "Trailer":
		return true
	}
	return false
}

// answerBody returns the answer's body; a body that was cut ends with io.ErrUnexpectedEOF.
func (x *exchange) answerBody() io.Reader {
	switch n := x.resp.Header.ContentLength(); {
	case x.noBody():
		return strings.NewReader("")
	case n >= 0:
		return &sizedBody{r: x.conn.r, left: int64(n)}
	case n == -1:
		x.resp.StreamBody = true
		if err := x.resp.ReadBody(x.conn.r, 0); err != nil {
			return failedBody{err}
		}
		return &chunkedBody{r: x.resp.BodyStream(), conn: x.conn}
	}
	return x.conn.r // without a length the body ends with the connection
}

func (x *exchange) noBody() bool {
	code := x.resp.StatusCode()
	return x.head.Method == fasthttp.MethodHead || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified
}
