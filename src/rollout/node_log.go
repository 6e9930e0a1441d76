package rollout

// log writes the log line of a decision with the figures that decided it.
func (n *Node) log(l Log) {
	fields := []any{"reason", l.Reason, "service", l.Order.Service, "target_version", l.Order.TargetVersion, "order", l.Order.ID(), "duration", l.Order.Duration.String()}
	if l.Plan.ID != 0 {
		fields = append(fields, "stage", l.Plan.Stage.String(), "share", l.Plan.Share, "step", l.Plan.Step, "elapsed_ms", l.Plan.Elapsed.Milliseconds())
	}
	if f := l.Finding; f != (Finding{}) {
		fields = append(fields, "bad", f.Bad, "undecided", f.Undecided, "slow", f.Slow, "route", f.Route, "answers", f.Answers, "failures", f.Failures, "old_share", f.OldShare,
			"servers", f.Servers, "bad_servers", f.BadServers, "evidence", f.Evidence, "limit", f.Limit, "total", f.Total)
	}
	n.Log.Info(l.Message, fields...)
}
