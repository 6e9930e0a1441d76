package booking

import (
	"errors"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/wire"
)

const reservedPrefix = "Yuccaport-" // prefix of header fields that are never forwarded, neither from callers nor from backend servers

const (
	maxSkipped     = 3        // answers to other requests that are skipped before an exchange fails
	maxSkippedSize = 16 << 20 // bytes of the body of each
)

var (
	errTimeout          = os.ErrDeadlineExceeded
	errUnexpectedAnswer = errors.New("answer belongs to another request or does not come from the backend server")
)

// send writes the request. A long body is written in a goroutine while the answer is awaited.
func (x *exchange) send() error {
	req := fasthttp.AcquireRequest()
	x.fillRequest(req)
	n := x.head.BodyLength
	if n != 0 {
		req.SetBodyStream(&uploadBody{r: x.body, w: x.conn.w}, int(n))
	}
	if n >= 0 && n <= maxSmallBody {
		return x.write(req)
	}
	x.uploadDone = make(chan error, 1)
	uploadDone := x.uploadDone
	go func() { uploadDone <- x.write(req) }()
	return nil
}

func (x *exchange) write(req *fasthttp.Request) error {
	defer fasthttp.ReleaseRequest(req)
	if err := req.Write(x.conn.w); err != nil {
		return err
	}
	return x.conn.w.Flush()
}

// fillRequest sets the request line and the header fields of req.
func (x *exchange) fillRequest(req *fasthttp.Request) {
	h := &req.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	req.UseHostHeader = true
	h.SetMethod(x.head.Method)
	h.SetRequestURI(x.head.URI)
	hasTenants := x.head.Tenant != "" || x.s.HasTenants != nil && x.s.HasTenants()
	for _, f := range x.head.Fields {
		if isReserved(f.Name) || x.s.Headers.Replaces(f.Name) || hasTenants && x.s.isTenantField(f.Name) {
			continue
		}
		h.Add(f.Name, f.Value)
	}
	if name := x.s.Headers.Tenant; name != "" && x.head.Tenant != "" {
		h.Set(name, x.head.Tenant)
	}
	h.SetHost(x.host())
	if x.token != "" {
		h.Set(ParentHeader, x.token)
	}
	if n := x.s.Headers; n.Caller != "" {
		// The backend server gets the name of the calling service and of the only instance that may run the call; another instance answers 421.
		h.Set(n.Caller, x.head.Caller)
		h.Set(n.Expect, x.instance)
	}
	if x.head.TimeoutMS > 0 {
		h.Set(x.s.Headers.Deadline, strconv.FormatInt(max(1, (x.timeout()-x.s.Now().Sub(x.arrived)).Milliseconds()), 10))
	}
}

// isTenantField reports whether a header field holds a tenant's key or name. The caller's daemon does
// not pass them on, unless it is of an earlier build or does not know yet that there are tenants.
func (s *Server) isTenantField(name string) bool {
	return strings.EqualFold(name, fasthttp.HeaderAuthorization) || s.Headers.IsTenant(name)
}

func (x *exchange) host() string {
	if x.head.Host != "" {
		return x.head.Host
	}
	return x.head.Service
}

func isReserved(name string) bool {
	return len(name) >= len(reservedPrefix) && strings.EqualFold(name[:len(reservedPrefix)], reservedPrefix)
}

// readHead reads the head of the answer. It is called after a failed send too, since a backend server may answer before it has read the complete request.
func (x *exchange) readHead(sendErr error) error {
	for interim := 0; ; {
		if err := header.ReadHead(x.conn.r, &x.resp.Header); err != nil {
			return errors.Join(sendErr, err)
		}
		if x.resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return errUnexpectedAnswer // requests are sent without Upgrade
		}
		if x.resp.StatusCode() < fasthttp.StatusOK {
			if interim++; interim > maxInterimAnswers {
				return errInterimAnswers
			}
			continue
		}
		if x.isForOtherRequest() {
			if err := x.skipAnswer(); err != nil {
				return errors.Join(sendErr, err)
			}
			continue
		}
		if err := x.checkAnswer(); err != nil {
			return err
		}
		x.recordEcho()
		if !x.isShed() {
			x.s.recordAnswer(x)
		}
		if !x.isMisdirected() {
			x.notice = x.s.recordNotice(x.instance, &x.resp.Header)
		}
		return nil
	}
}

// skipAnswer discards an answer to another request, whatever its length, since the backend server is
// at work on the present one behind it. The connection is not reused after this exchange.
func (x *exchange) skipAnswer() error {
	x.s.counters.skipped.Inc()
	endsWithConnection := !x.hasNoBody() && x.resp.Header.ContentLength() == -2
	isHead := x.head.Method == fasthttp.MethodHead // whether the other answer has a body is not known
	if x.skippedAnswers++; x.skippedAnswers > maxSkipped || endsWithConnection || isHead {
		return errUnexpectedAnswer
	}
	err := x.discardBody(maxSkippedSize)
	x.resp.ResetBody()
	return err
}

// checkAnswer returns errUnexpectedAnswer for a 2xx answer that lacks the proof that it comes from the backend server.
// If Headers.Proof is set, the answers of the backend server have that field and no Content-Encoding.
func (x *exchange) checkAnswer() error {
	n, code := x.s.Headers, x.resp.StatusCode()
	if n.Proof == "" || code >= fasthttp.StatusMultipleChoices {
		return nil
	}
	if len(x.resp.Header.Peek(n.Proof)) == 0 || len(x.resp.Header.Peek(fasthttp.HeaderContentEncoding)) > 0 {
		return errUnexpectedAnswer
	}
	return nil
}

// isShed reports whether the answer states that the backend server has not begun to run the request.
func (x *exchange) isShed() bool {
	if len(x.resp.Header.Peek(x.s.Headers.NotRun)) == 0 {
		return x.isMisdirected()
	}
	switch x.resp.StatusCode() {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusMisdirectedRequest, fasthttp.StatusBadRequest:
		return true
	}
	return false
}

// isMisdirected reports whether an instance other than the expected one has answered, that is, with status 421 while an instance is expected.
func (x *exchange) isMisdirected() bool {
	return x.instance != "" && x.resp.StatusCode() == fasthttp.StatusMisdirectedRequest
}

// replyHead returns the head of the reply to the caller's daemon.
func (x *exchange) replyHead(length int64) wire.ReplyHead {
	h := wire.ReplyHead{Status: uint16(x.resp.StatusCode()), BodyLength: length}
	h.Load, h.LinkDelayMS, h.SpeedPercent = x.s.loadFor(x.head)
	h.Leaving, h.Fields = x.notice.leaving, x.fields
	return h
}

// forwardedFields returns the fields of the head that are passed on. It is called before the body is
// read, since fasthttp adds the trailers to them.
func (x *exchange) forwardedFields() []wire.Field {
	out := make([]wire.Field, 0, x.resp.Header.Len())
	for k, v := range x.resp.Header.All() {
		if name := string(k); !isReserved(name) && !isConnectionField(name) {
			out = append(out, wire.Field{Name: name, Value: string(v)})
		}
	}
	return out
}

// isConnectionField reports whether a header field concerns only this connection or the framing of the body.
func isConnectionField(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "Trailer":
		return true
	}
	return false
}

// answerBody returns the body of the answer. Reading a truncated body returns io.ErrUnexpectedEOF; a body that is delimited by the end of the connection appears complete unless the connection was reset.
// Reading the body of a failure beyond maxBufferedAnswer returns errBodyTooLong, since it may have
// no end.
func (x *exchange) answerBody() io.Reader {
	body := io.Reader(&progressBody{r: x.rawAnswerBody(), conn: x.conn})
	if x.isFailure() {
		body = &limitedBody{r: body, remaining: maxBufferedAnswer}
	}
	return body
}

// isFailure reports whether the answer has a status of 300 or above.
func (x *exchange) isFailure() bool { return x.resp.StatusCode() >= fasthttp.StatusMultipleChoices }

func (x *exchange) rawAnswerBody() io.Reader {
	switch n := x.resp.Header.ContentLength(); {
	case x.hasNoBody():
		return strings.NewReader("")
	case n >= 0:
		return &sizedBody{r: x.conn.r, remaining: int64(n)}
	case n == -1:
		x.resp.StreamBody = true
		if err := x.resp.ReadBody(x.conn.r, 0); err != nil {
			return errorBody{err}
		}
		return &chunkedBody{r: x.resp.BodyStream(), conn: x.conn}
	}
	return unframedBody{conn: x.conn}
}

func (x *exchange) hasNoBody() bool {
	code := x.resp.StatusCode()
	return x.head.Method == fasthttp.MethodHead || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified
}
