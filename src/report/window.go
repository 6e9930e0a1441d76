package report

import (
	"cmp"
	"slices"
	"time"
)

const maxCauses = 3

// window collects what a Window reports.
type window struct {
	asked, late int
	causes      map[Cause]int // by cause without a number of calls
	used        map[string]float64
	refusing    map[string]bool // services whose calls were refused for want of a slot
	refusals    map[string]int  // by agent
	serving     map[string]bool // agents that logged while their backend servers took calls
	routes      map[string]*routeUse
}

// windowNumber returns the number of the window that holds a time, counted from the Unix epoch.
func (b *Builder) windowNumber(t time.Time) int64 { return t.UnixNano() / int64(b.Window) }

func (b *Builder) windowStart(n int64) time.Time { return time.Unix(0, n*int64(b.Window)).UTC() }

func (b *Builder) window(t time.Time) *window {
	n := b.windowNumber(t)
	if b.windows[n] == nil {
		b.windows[n] = &window{causes: map[Cause]int{}, used: map[string]float64{}, refusing: map[string]bool{}, refusals: map[string]int{}, serving: map[string]bool{}, routes: map[string]*routeUse{}}
	}
	return b.windows[n]
}

// route returns what the window saw of a route.
func (w *window) route(name string) *routeUse {
	if w.routes[name] == nil {
		w.routes[name] = &routeUse{}
	}
	return w.routes[name]
}

// use spreads the time for which a run has held a slot over the windows.
func (b *Builder) use(l line, heldMS int64) {
	for at := l.Time.Add(-time.Duration(heldMS) * time.Millisecond); at.Before(l.Time); {
		end := b.windowStart(b.windowNumber(at) + 1)
		if l.Time.Before(end) {
			end = l.Time
		}
		b.window(at).used[l.Agent] += end.Sub(at).Seconds()
		at = end
	}
}

// idleSlots returns the idle slot-seconds by window and agent, of the services whose calls were
// refused for want of a slot in that window. An agent counts if it logged anything while its backend
// server took calls, so that servers that get none count too.
func (b *Builder) idleSlots() map[int64]map[string]float64 {
	out := map[int64]map[string]float64{}
	for n, w := range b.windows {
		for agent := range w.refusals {
			w.refusing[b.server(agent).Service] = true
		}
		out[n] = map[string]float64{}
		for agent := range w.serving {
			s := b.server(agent)
			if w.refusing[s.Service] {
				out[n][agent] = max(0, float64(s.Slots)*b.Window.Seconds()-w.used[agent])
			}
		}
	}
	return out
}

func (b *Builder) newWindow(n int64, w *window, idle map[string]float64) Window {
	out := Window{From: b.windowStart(n), Length: b.Window, Asked: w.asked, Late: w.late}
	for c, calls := range w.causes {
		c.Calls = calls
		out.Lost += calls
		out.Causes = append(out.Causes, c)
	}
	slices.SortFunc(out.Causes, func(x, y Cause) int {
		return cmp.Or(cmp.Compare(y.Calls, x.Calls), cmp.Compare(x.Route, y.Route), cmp.Compare(x.Reason, y.Reason))
	})
	out.Causes = out.Causes[:min(len(out.Causes), maxCauses)]
	for _, seconds := range idle {
		out.Idle += seconds / b.Window.Seconds()
	}
	return out
}
