package daemon

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/wire"
)

// FleetStatus is the answer of the admin endpoint /status.
type FleetStatus struct {
	Version   uint64              `json:"version"`  // in force at the daemon asked
	Asked     int                 `json:"asked"`    // daemons asked
	InForce   int                 `json:"in_force"` // daemons at or above the version asked for
	Members   []wire.MemberStatus `json:"members"`
	StoreDown bool                `json:"store_down"`
}

// serveAdmin answers health, metrics, status, route and drain requests until ctx is over.
func (d *Daemon) serveAdmin(ctx context.Context) error {
	s := &fasthttp.Server{Handler: d.admin, Name: "yuccaport", NoDefaultServerHeader: true, CloseOnShutdown: true}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(d.AdminListener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	_ = s.Shutdown()
	return <-failed
}

func (d *Daemon) admin(ctx *fasthttp.RequestCtx) {
	if !d.allowed(ctx) {
		ctx.Error("admin token missing or wrong; send Authorization: Bearer TOKEN", fasthttp.StatusUnauthorized)
		return
	}
	switch string(ctx.Path()) {
	case "/alive":
		ctx.SetBodyString("alive\n")
	case "/ready":
		d.adminReady(ctx)
	case "/metrics":
		d.adminMetrics(ctx)
	case "/status":
		d.adminStatus(ctx)
	case "/route":
		a := ctx.QueryArgs()
		writeJSON(ctx, d.proxy.Explain(string(a.Peek("host")), string(a.Peek("path")), string(a.Peek("method"))))
	case "/drain":
		d.adminDrain(ctx)
	default:
		ctx.Error("no such endpoint; see docs/OPERATIONS.md", fasthttp.StatusNotFound)
	}
}

func (d *Daemon) allowed(ctx *fasthttp.RequestCtx) bool {
	want := d.Settings.Listen.AdminToken
	if want == "" {
		return true
	}
	got := strings.TrimPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(got), []byte(want)) == 1
}

func (d *Daemon) adminReady(ctx *fasthttp.RequestCtx) {
	if d.Ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.Error("not ready: no configuration in force, backend server not healthy, or leaving; see status\n", fasthttp.StatusServiceUnavailable)
}

func (d *Daemon) adminMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	d.Metrics.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

func (d *Daemon) adminStatus(ctx *fasthttp.RequestCtx) {
	below, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("below")), 10, 64)
	if err != nil && ctx.QueryArgs().Has("below") {
		ctx.Error("below is not a version; give a whole number", fasthttp.StatusBadRequest)
		return
	}
	healthy, _ := d.distributor.StoreHealthy()
	r := d.gatherer.Fleet(ctx, below)
	writeJSON(ctx, FleetStatus{Version: d.Version(), Asked: r.Asked, InForce: r.InForce, Members: r.Members, StoreDown: !healthy})
}

func (d *Daemon) adminDrain(ctx *fasthttp.RequestCtx) {
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
