package relay

import (
	"fmt"

	"github.com/yuccaport/yuccaport/src/wire"
)

// execute executes an action; in is the input that led to it.
func (l *loop) execute(a Action, in input) {
	switch a := a.(type) {
	case WatchHead:
		l.watchHead(a)
	case ReadHead:
		l.readHead()
	case Fetch:
		l.fetch()
	case Grant:
		l.grant(a)
	case Renew:
		l.renew()
	case Release:
		l.logVerbose("releasing reader lease", "reason", a.Reason)
		l.releaseInBackground()
	case Apply:
		l.apply(*in.update, a.Source, a.Peer)
	case Push:
		l.push(a)
	case Ask:
		l.askPeerVersion(a)
	case Pull:
		l.logVerbose("pulling update", "to", a.To, "have", a.HeldVersion, "reason", a.Reason)
		l.pull(a)
	case AnswerUpdate:
		l.replyToPull(in, wire.PullReply{Update: l.config.held.UpdateFrom(a.Base)})
		l.count("answers", "update")
	case AnswerCurrent:
		l.replyToPull(in, wire.PullReply{Current: true, Update: wire.Update{Schema: wire.SchemaNumber, Version: a.Version}})
	case AnswerBusy:
		l.replyToPull(in, wire.PullReply{BusyNext: a.Alternative, BusyAfter: max(a.RetryAfter.Milliseconds(), 1)})
		l.count("answers", "busy")
	case Open:
		l.open(a)
	case StoreBehind:
		l.Log.Info("store head is older than the version held", "store_version", a.HeadVersion, "version", a.HeldVersion,
			"reason", "store restored from a backup or stale read", "remedy", "keep serving; see docs/OPERATIONS.md before applying anything")
		l.count("store_behind", "head")
	}
}

// apply applies an update and queues the event for its outcome.
func (l *loop) apply(u wire.Update, source Source, peer uint64) {
	err := l.config.apply(u)
	l.recordResult(u.Version, source, err)
	l.pendingInputs = append(l.pendingInputs, input{event: updateResult(u, source, peer, err)})
}

func (l *loop) open(a Open) {
	err := l.config.open()
	l.Log.Info("first version selected", "version", a.Version, "reason", a.Reason)
	l.recordResult(a.Version, "start", err) // "start" appears only in logs and metrics
}

// recordResult updates status, log and metrics after an attempt to apply a version.
func (l *loop) recordResult(version uint64, source Source, err error) {
	l.mu.Lock()
	l.inForce = l.config.inForce
	switch {
	case err != nil:
		l.status.refusedVersion, l.status.refusedReason = version, err.Error()
	case l.inForce != nil && l.inForce.Version >= l.status.refusedVersion:
		l.status.refusedVersion, l.status.refusedReason = 0, ""
	}
	l.mu.Unlock()
	if err != nil {
		l.Log.Info("version refused", "version", version, "source", source, "reason", err.Error())
		l.count("versions_refused", string(source))
		return
	}
	l.logVerbose("version applied", "version", version, "source", source)
	l.count("versions_taken", string(source))
}

func (l *loop) replyToPull(in input, r wire.PullReply) {
	if in.reply != nil {
		in.reply <- pullAnswer{reply: r}
	}
}

// updateWatchStatus updates the status and logs when this daemon starts or stops watching the store.
func (l *loop) updateWatchStatus() {
	watching := l.core.IsWatching()
	l.mu.Lock()
	changed := watching != l.status.isWatching
	l.status.isWatching = watching
	if changed && !watching {
		l.status.storeDown = false
	}
	l.mu.Unlock()
	if changed {
		l.Log.Info("started or stopped watching the store", "reading", watching, "rank", l.core.rank, "reason", "rank, lease, fallback or direct watch")
	}
}

func (l *loop) logVerbose(msg string, keysAndValues ...any) { l.Log.V(1).Info(msg, keysAndValues...) }

func (l *loop) count(name, kind string) {
	l.Metrics.GetOrCreateCounter(fmt.Sprintf("yuccaport_relay_%s_total{kind=%q}", name, kind)).Inc()
}
