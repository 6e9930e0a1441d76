package daemon

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/quarantine"
	"github.com/yuccaport/yuccaport/src/wire"
)

// FleetStatus is the response of the admin endpoint /status.
type FleetStatus struct {
	Version   uint64              `json:"version"`    // in force at the daemon that answers
	Asked     int                 `json:"asked"`      // number of daemons that were asked for their status
	InForce   int                 `json:"in_force"`   // number of daemons at or above the version given by the query parameter "below"; 0 without it
	Members   []wire.MemberStatus `json:"members"`    // the daemons not counted in InForce, including unreachable ones
	StoreDown bool                `json:"store_down"` // relay.Distributor.StoreHealthy is false at the daemon that answers
}

// serveAdmin serves the admin endpoints (health, metrics, status, route, quarantine and drain)
// until ctx is done.
func (d *Daemon) serveAdmin(ctx context.Context) error {
	s := &fasthttp.Server{Handler: d.handleAdmin, Name: "yuccaport", NoDefaultServerHeader: true, CloseOnShutdown: true}
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(d.AdminListener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	_ = s.Shutdown()
	return <-serveErr
}

func (d *Daemon) handleAdmin(ctx *fasthttp.RequestCtx) {
	if !d.authorized(ctx) {
		ctx.Error("admin token missing or wrong; send Authorization: Bearer TOKEN", fasthttp.StatusUnauthorized)
		return
	}
	switch string(ctx.Path()) {
	case "/alive":
		ctx.SetBodyString("alive\n")
	case "/ready":
		d.handleReady(ctx)
	case "/metrics":
		d.handleMetrics(ctx)
	case "/status":
		d.handleStatus(ctx)
	case "/route":
		query := ctx.QueryArgs()
		writeJSON(ctx, d.proxy.Explain(string(query.Peek("host")), string(query.Peek("path")), string(query.Peek("method"))))
	case quarantine.Path:
		d.quarantine.ServeHTTP(ctx)
	case "/drain":
		d.handleDrain(ctx)
	default:
		ctx.Error("no such endpoint; see docs/OPERATIONS.md", fasthttp.StatusNotFound)
	}
}

// authorized reports whether a request carries the admin token, or none is configured.
func (d *Daemon) authorized(ctx *fasthttp.RequestCtx) bool {
	want := d.Settings.Listen.AdminToken
	if want == "" {
		return true
	}
	got := strings.TrimPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(got), []byte(want)) == 1
}

func (d *Daemon) handleReady(ctx *fasthttp.RequestCtx) {
	if d.Ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.Error("not ready: no configuration in force, backend server not healthy, or leaving; see status\n", fasthttp.StatusServiceUnavailable)
}

func (d *Daemon) handleMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	d.Metrics.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

func (d *Daemon) handleStatus(ctx *fasthttp.RequestCtx) {
	below, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("below")), 10, 64)
	if err != nil && ctx.QueryArgs().Has("below") {
		ctx.Error("below is not a version; give a whole number", fasthttp.StatusBadRequest)
		return
	}
	healthy, _ := d.distributor.StoreHealthy()
	reply := d.gatherer.Fleet(ctx, below)
	writeJSON(ctx, FleetStatus{Version: d.Version(), Asked: reply.Asked, InForce: reply.InForce, Members: reply.Members, StoreDown: !healthy})
}

func (d *Daemon) handleDrain(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Error("drain changes state; use POST", fasthttp.StatusMethodNotAllowed)
		return
	}
	d.Drain()
	writeJSON(ctx, d.Status())
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}
