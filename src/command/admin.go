package command

import (
	"encoding/json"
	"net/netip"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/daemon"
	"github.com/yuccaport/yuccaport/src/problem"
)

const adminTimeout = 10 * time.Second

// adminClient speaks to the admin endpoints of one daemon.
type adminClient struct {
	addr  netip.AddrPort
	token string
}

func adminOf(cmd *cli.Command) (adminClient, error) {
	a, err := addrFlag(cmd, "admin")
	return adminClient{addr: a, token: cmd.String("admin-token")}, err
}

// ask sends one request and decodes its JSON answer into v.
func (c adminClient) ask(method, path string, query url.Values, v any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	u := url.URL{Scheme: "http", Host: c.addr.String(), Path: path, RawQuery: query.Encode()}
	req.SetRequestURI(u.String())
	req.Header.SetMethod(method)
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if err := fasthttp.DoTimeout(req, resp, adminTimeout); err != nil {
		return problem.Wrap(problem.Unavailable, err, u.String(), "daemon does not answer", "name another daemon's admin address by --admin")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return problem.New(problem.Unavailable, u.String(), string(resp.Body()), "see docs/OPERATIONS.md")
	}
	return json.Unmarshal(resp.Body(), v)
}

func (c adminClient) status(below string) (daemon.FleetStatus, error) {
	var s daemon.FleetStatus
	q := url.Values{}
	if below != "" {
		q.Set("below", below)
	}
	err := c.ask(fasthttp.MethodGet, "/status", q, &s)
	return s, err
}
