package kv

import (
	"bufio"
	"bytes"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/lane"
	"github.com/yuccaport/yuccaport/src/problem"
)

// answer is what the store has answered to one call.
type answer struct {
	status   int
	revision uint64
	era      uint64
	namesEra bool
	body     []byte
	date     []byte
	close    bool // the store closes the connection after this answer
	valid    bool // it carries a revision
}

const maxAnswerSize = MaxValueSize + 64<<10 // bytes

// identityLength is fasthttp's length of a body that only the end of the connection bounds, so that a cut is not seen.
const identityLength = -2

// readAnswer reads one whole answer.
func readAnswer(r *bufio.Reader) (answer, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := header.ReadHead(r, &resp.Header); err != nil {
		return answer{}, err
	}
	if resp.Header.ContentLength() == identityLength {
		return answer{}, problem.New(problem.Protocol, "Content-Length", "missing", "check that [store] addr is the platform's store")
	}
	if err := resp.ReadBody(r, maxAnswerSize); err != nil {
		return answer{}, err
	}
	revision, err := strconv.ParseUint(string(resp.Header.Peek(HeaderRevision)), 10, 64)
	era, eraErr := strconv.ParseUint(string(resp.Header.Peek(HeaderEra)), 10, 64)
	if eraErr == nil && era > MaxEra {
		return answer{}, problem.New(problem.Protocol, HeaderEra, "too high", "check that [store] addr is the platform's store")
	}
	return answer{
		status:   resp.StatusCode(),
		revision: revision,
		era:      era,
		namesEra: eraErr == nil,
		body:     bytes.Clone(resp.Body()),
		date:     bytes.Clone(resp.Header.Peek(fasthttp.HeaderDate)),
		close:    resp.ConnectionClose(),
		valid:    err == nil,
	}, nil
}

// entry returns the entry that an answer shows.
func (a answer) entry(key string) Entry {
	e := Entry{Key: key, Value: a.body, Era: a.era}
	if a.revision != 0 {
		e.Revision = JoinRevision(a.era, a.revision)
	}
	return e
}

// check returns the error that an answer stands for.
func (a answer) check() error {
	text := fmt.Sprintf("status %d: %.200s", a.status, a.body)
	switch a.status {
	case fasthttp.StatusOK:
		if a.valid {
			return nil
		}
		return problem.New(problem.Protocol, HeaderRevision, "missing or malformed", "check that [store] addr is the platform's store")
	case fasthttp.StatusNotFound:
		return problem.New(problem.NotFound, "", text, "write the key first")
	case fasthttp.StatusConflict:
		return problem.New(problem.Conflict, "", text, "read the key again")
	case fasthttp.StatusRequestEntityTooLarge:
		return problem.New(problem.Usage, "", text, fmt.Sprintf("keep values within %d bytes", MaxValueSize))
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return lane.NotSent{Err: problem.New(problem.Unavailable, "", text, "try again later")}
	}
	return problem.New(problem.Protocol, "", text, "check that [store] addr is the platform's store")
}
