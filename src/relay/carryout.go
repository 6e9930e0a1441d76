package relay

import (
	"fmt"

	"github.com/yuccaport/yuccaport/src/wire"
)

// carryOut does what the core has decided upon an event.
func (l *loop) carryOut(a Action, in input) {
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
		l.log("reader duty ends", "reason", a.Reason)
		l.release()
	case Apply:
		l.apply(*in.update, a.Source, a.Peer)
	case Push:
		l.push(a)
	case Ask:
		l.ask(a)
	case Pull:
		l.log("pull", "to", a.To, "have", a.HeldVersion, "reason", a.Reason)
		l.pull(a)
	case AnswerUpdate:
		l.answer(in, wire.PullReply{Update: l.holder.held.UpdateFrom(a.Base)})
		l.count("answers", "update")
	case AnswerCurrent:
		l.answer(in, wire.PullReply{Current: true, Update: wire.Update{Schema: wire.SchemaNumber, Version: a.Version}})
	case AnswerBusy:
		l.answer(in, wire.PullReply{BusyNext: a.Alternative, BusyAfter: max(a.RetryAfter.Milliseconds(), 1)})
		l.count("answers", "busy")
	case Open:
		l.open(a)
	case StoreBehind:
		l.Log.Info("the store holds an older version than this daemon", "store_version", a.HeadVersion, "version", a.HeldVersion,
			"reason", "store restored from a backup or stale read", "remedy", "keep serving; see docs/OPERATIONS.md before applying anything")
		l.count("store_behind", "head")
	}
}

// apply takes an update and queues the event that tells the core how it went.
func (l *loop) apply(u wire.Update, source Source, peer uint64) {
	err := l.holder.apply(u)
	l.took(u.Version, source, err)
	l.queue = append(l.queue, input{event: result(u, source, peer, err)})
}

func (l *loop) open(a Open) {
	err := l.holder.open()
	l.Log.Info("first version", "version", a.Version, "reason", a.Reason)
	l.took(a.Version, "start", err)
}

// took notes the end of an attempt to take a version.
func (l *loop) took(version uint64, source Source, err error) {
	l.mu.Lock()
	l.current = l.holder.inForce
	switch {
	case err != nil:
		l.status.refused, l.status.why = version, err.Error()
	case l.current != nil && l.current.Version >= l.status.refused:
		l.status.refused, l.status.why = 0, ""
	}
	l.mu.Unlock()
	if err != nil {
		l.Log.Info("version refused", "version", version, "source", source, "reason", err.Error())
		l.count("versions_refused", string(source))
		return
	}
	l.log("version taken", "version", version, "source", source)
	l.count("versions_taken", string(source))
}

func (l *loop) answer(in input, r wire.PullReply) {
	if in.reply != nil {
		in.reply <- pullAnswer{reply: r}
	}
}

// tellReader shows a change of the reader's duty.
func (l *loop) tellReader() {
	reading := l.core.IsReader()
	l.mu.Lock()
	changed := reading != l.status.reader
	l.status.reader = reading
	if changed && !reading {
		l.status.storeDown = false
	}
	l.mu.Unlock()
	if changed {
		l.Log.Info("reader", "reading", reading, "rank", l.core.rank, "reason", "rank and lease")
	}
}

func (l *loop) log(msg string, kv ...any) { l.Log.V(1).Info(msg, kv...) }

func (l *loop) count(name, kind string) {
	l.Metrics.GetOrCreateCounter(fmt.Sprintf("yuccaport_relay_%s_total{kind=%q}", name, kind)).Inc()
}
