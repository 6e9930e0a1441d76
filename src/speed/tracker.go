package speed

import "time"

const (
	usual       = 100.0            // percent
	maxPercent  = 10_000           // a larger figure is not taken for a speed
	meanPeriod  = 10 * time.Second // over which the mean is taken
	meanPrior   = time.Second      // for which a machine counts as having had the usual speed before its first report
	maxMeanStep = time.Second      // longest time for which one report counts in the mean
)

// Tracker holds the reports of one machine. The zero value has none. It is not safe for concurrent use.
type Tracker struct {
	factor float64 // last reported, 1 as usual, 0 for none
	at     time.Time
	mean   float64
	period time.Duration // over which the mean was taken, up to meanPeriod
	work   time.Duration // progress, at usual speed, until the last report
	began  time.Time     // first report

	earlier [ageRanges]report // for each range of ages, the report that the next one old enough is compared with
}

type report struct {
	factor float64
	at     time.Time
}

// Record stores a report in percent, 100 as usual and 250 for work that takes 2.5 times as long,
// and passes the change to m. A report out of range is ignored.
func (t *Tracker) Record(now time.Time, percent int, m *Memory) {
	if percent < 1 || percent > maxPercent {
		return
	}
	f := float64(percent) / usual
	if t.factor == 0 {
		t.factor, t.at, t.began, t.mean, t.period = f, now, now, 1, meanPrior
		return
	}
	gap := now.Sub(t.at)
	if gap < 0 {
		return
	}
	step := min(gap, maxMeanStep)
	t.period = min(meanPeriod, t.period+step)
	t.mean += (t.factor - t.mean) * step.Seconds() / t.period.Seconds()
	t.compare(now, f, m)
	t.work += time.Duration(gap.Seconds() * (1/t.factor + 1/f) / 2 * float64(time.Second))
	t.factor, t.at = f, now
}

// compare passes to m how a report differs from earlier ones of all ages, so that m knows what a
// report says some time later even where reports come more often.
func (t *Tracker) compare(now time.Time, f float64, m *Memory) {
	for r := range t.earlier {
		e := &t.earlier[r]
		gap := now.Sub(e.at)
		if !e.at.IsZero() && gap < shortestOf(r) {
			continue
		}
		if !e.at.IsZero() && ageRange(gap) == r {
			m.learn(r, e.factor-t.mean, f-t.mean)
		}
		*e = report{f, now}
	}
}

// IsKnown reports whether there is a report.
func (t *Tracker) IsKnown() bool { return t.factor > 0 }

// Age returns the time since the last report.
func (t *Tracker) Age(now time.Time) time.Duration { return now.Sub(t.at) }

// Factor returns how many times as long as usual work is expected to take now: the last report,
// weighted by what m has learned of reports that old, and the machine's mean. Without a report it
// is 1.
func (t *Tracker) Factor(now time.Time, m *Memory) float64 {
	if t.factor == 0 {
		return 1
	}
	return t.mean + (t.factor-t.mean)*m.weight(t.Age(now))
}

// Expected returns how long work that starts now is expected to take, given its time at usual
// speed: at the speed expected for the middle of that time, since the speed may change meanwhile.
func (t *Tracker) Expected(now time.Time, usual time.Duration, m *Memory) time.Duration {
	if t.factor == 0 {
		return usual
	}
	return time.Duration(float64(usual) * t.Factor(now.Add(usual/2), m))
}

// Percent returns Factor in percent, 0 without a report.
func (t *Tracker) Percent(now time.Time, m *Memory) int32 {
	if t.factor == 0 {
		return 0
	}
	return int32(max(1, usual*t.Factor(now, m)+0.5))
}

// Progress returns the time that the machine would have needed at usual speed for what it can have
// done until now, from an arbitrary start.
func (t *Tracker) Progress(now time.Time) time.Duration {
	if t.factor == 0 {
		return 0
	}
	return t.work + time.Duration(float64(max(0, now.Sub(t.at)))/t.factor)
}

// Normal returns how long work that took the given time until now would have taken at usual speed,
// given Progress at its start. Without a report it is took.
func (t *Tracker) Normal(now time.Time, took, progressAtStart time.Duration) time.Duration {
	if t.factor == 0 || took <= 0 {
		return took
	}
	// The speed before the first report is unknown; that time counts at the rate of the rest.
	known := min(took, now.Sub(t.began))
	done := t.Progress(now) - progressAtStart
	if known <= 0 || done <= 0 {
		return time.Duration(float64(took) / t.factor)
	}
	return time.Duration(float64(took) * min(1/minFactor, done.Seconds()/known.Seconds()))
}
