package header

import (
	"bufio"
	"bytes"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/problem"
)

// maxStatus is the highest status of an answer.
const maxStatus = 599

// ReadAnswer reads a whole answer with a body of up to maxBody bytes, past an interim one, to a request that is not HEAD.
func ReadAnswer(r *bufio.Reader, resp *fasthttp.Response, maxBody int) error {
	if err := ReadHead(r, &resp.Header); err != nil {
		return err
	}
	if resp.StatusCode() < fasthttp.StatusOK {
		if err := ReadHead(r, &resp.Header); err != nil {
			return err
		}
	}
	if !IsFinal(resp.StatusCode()) {
		return malformed("status %d, where a final one is due", resp.StatusCode())
	}
	if code := resp.StatusCode(); code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified {
		return nil
	}
	if err := resp.ReadBody(r, maxBody); err != nil {
		return err
	}
	if resp.Header.ContentLength() != -1 {
		return nil
	}
	return resp.Header.ReadTrailer(r)
}

// ReadHead reads the head of an answer; it fails with problem.Protocol if the head is malformed.
func ReadHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	// fasthttp takes status 000 for 200, and passes over blanks in the names of fields.
	if err := checkNextHead(r); err != nil {
		return err
	}
	return h.Read(r)
}

// IsFinal reports whether a status is that of a final answer.
func IsFinal(status int) bool { return status >= fasthttp.StatusOK && status <= maxStatus }

// IsName reports whether s is the name of a field.
func IsName[T string | []byte](s T) bool {
	for i := range len(s) {
		if !isNameByte(s[i]) {
			return false
		}
	}
	return len(s) > 0
}

// checkNextHead checks the lines of the next head, which it leaves unread. Of a head that breaks off,
// or that does not fit into the buffer, it checks the whole lines.
func checkNextHead(r *bufio.Reader) error {
	var c headChecker
	for n, checked := 1, 0; ; n = r.Buffered() + 1 {
		_, peekErr := r.Peek(n)
		b, _ := r.Peek(r.Buffered())
		for !c.complete {
			length := bytes.IndexByte(b[checked:], '\n')
			if length < 0 {
				break
			}
			if err := c.checkLine(b[checked : checked+length]); err != nil {
				return err
			}
			checked += length + 1
		}
		if c.complete || peekErr != nil {
			return nil // the next read returns the error
		}
	}
}

// headChecker checks a head line by line.
type headChecker struct {
	hasStatus bool
	complete  bool
}

// checkLine checks the next line, which is given without its LF.
func (c *headChecker) checkLine(line []byte) error {
	line, ok := bytes.CutSuffix(line, []byte("\r"))
	switch {
	case !ok:
		return malformed("line %.40q without a CR", line)
	case len(line) == 0:
		c.complete = c.hasStatus // empty lines may precede the status line
		return nil
	case !c.hasStatus:
		c.hasStatus = true
		return checkStatusLine(line)
	}
	if name, _, ok := bytes.Cut(line, []byte(":")); !ok || !IsName(name) {
		return malformed("line %.40q is not a field", line)
	}
	return nil
}

// checkStatusLine checks the first digit of the status; fasthttp checks the rest.
func checkStatusLine(line []byte) error {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	if status := bytes.TrimLeft(rest, " "); len(status) == 0 || status[0] < '1' || status[0] > '0'+maxStatus/100 {
		return malformed("status line %.40q", line)
	}
	return nil
}

func malformed(format string, args ...any) error {
	return problem.New(problem.Protocol, "head of an answer", fmt.Sprintf(format, args...), "see the server's own log")
}

// isNameByte reports whether a name may have b in it: a token of RFC 9110.
func isNameByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0
}
