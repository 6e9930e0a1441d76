package rollout

import "math"

const (
	// Additional shares of bad answers, beyond those of the old servers, between which the test
	// decides: up to tolerableShare a version is good, from badShare on it is bad. Between the two
	// either finding may come.
	tolerableShare = 0.08
	badShare       = 0.25
	goodShare      = 0.02 // of a server that counts as good

	errorRate        = 0.001 // accepted by the sequential test
	maxOldShare      = 0.9   // beyond it, no version can be told from the old one
	minServerAnswers = 6     // from which on a server counts as one with evidence
	badServers       = 0.7   // share of the servers with evidence that must not count as good in a bad version; more than half would confuse it with a few gray servers in a small canary set
	minBadServers    = 3     // of them, or all if there are fewer; two of three are gray servers of a good version too often
	suspectEvidence  = 0.25  // of evidenceLimit from which on a version is suspect
	plainEvidence    = 4     // multiple of evidenceLimit at which two servers are enough if no other has evidence, as while it is cold
	goodServerRatio  = -1.0  // log-likelihood ratio up to which a server counts as good; minServerAnswers without a failure are enough
)

// evidenceLimit is the log-likelihood ratio from which on a version is bad.
var evidenceLimit = math.Log(1 / errorRate)

// stratum is a sequential test (cumulative sum of log-likelihood ratios) of one kind of bad answer on
// one route.
//
// The sum starts again whenever it falls to zero, so that a version that was good for long and then
// turns bad is found as fast as one that was bad from the start.
type stratum struct {
	servers map[uint64]*serverEvidence // since the sum last was zero
}

// serverEvidence is what one server adds to a stratum.
type serverEvidence struct {
	answers, bad int
	ratio        float64 // log-likelihood ratio of a bad version to a tolerable one
	goodRatio    float64 // the same to one that is as good as the old ones
}

// add takes in the answers of a server, some of them bad, with the old servers' share of bad answers
// at the same time.
func (s *stratum) add(server uint64, answers, bad int, oldShare float64) {
	if answers == 0 {
		return
	}
	if s.servers == nil {
		s.servers = map[uint64]*serverEvidence{}
	}
	e := s.servers[server]
	if e == nil {
		e = &serverEvidence{}
		s.servers[server] = e
	}
	oldShare = min(oldShare, maxOldShare)
	worse := oldShare + badShare*(1-oldShare)
	ratio := func(additional float64) float64 {
		good := oldShare + additional*(1-oldShare)
		return float64(bad)*math.Log(worse/good) + float64(answers-bad)*math.Log((1-worse)/(1-good))
	}
	e.answers += answers
	e.bad += bad
	e.ratio += ratio(tolerableShare)
	e.goodRatio += ratio(goodShare)
}

// find returns the finding and starts again if the evidence has fallen to zero. servers is the number
// of servers of the version.
func (s *stratum) find(servers int) Finding {
	f := Finding{Limit: evidenceLimit}
	total := 0.0
	for _, e := range s.servers {
		total += e.ratio
		f.Evidence += min(e.ratio, serverEvidenceLimit(servers))
		f.Answers += e.answers
		f.Failures += e.bad
		if e.answers >= minServerAnswers {
			f.Servers++
			if e.goodRatio > goodServerRatio {
				f.BadServers++
			}
		}
	}
	if f.Evidence <= 0 {
		clear(s.servers)
		return Finding{Limit: evidenceLimit}
	}
	enough := float64(f.BadServers) >= badServers*float64(f.Servers) && f.BadServers >= min(servers, minBadServers)
	if !enough && f.BadServers >= 2 && f.BadServers == f.Servers && total >= plainEvidence*evidenceLimit {
		enough, f.Evidence = true, total
	}
	f.Bad = enough && f.Evidence >= evidenceLimit
	f.Undecided = !f.Bad && enough && f.Evidence >= suspectEvidence*evidenceLimit
	return f
}

// serverEvidenceLimit is the most that one server can add to the evidence, so that it takes three
// servers, or two if there are no more.
func serverEvidenceLimit(servers int) float64 {
	switch servers {
	case 1:
		return math.Inf(1)
	case 2:
		return 0.6 * evidenceLimit
	}
	return 0.45 * evidenceLimit
}
