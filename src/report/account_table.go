package report

import (
	"fmt"
	"io"
	"strings"

	"github.com/yuccaport/yuccaport/src/cut"
)

// accountGroups are the rows of an account, with the ends that each sums up. All other ends are the rest.
var accountGroups = []struct {
	name string
	ends []cut.End
}{
	{"answered", []cut.End{cut.EndAnswered}},
	{"answered, status of 500 or above", []cut.End{cut.EndServerFailure}},
	{"refused as not run", []cut.End{cut.EndNotRun}},
	{"rejected", []cut.End{cut.EndRejected}},
	{"ended by callers", []cut.End{cut.EndCallerLeft, cut.EndParent}},
	{"ended by deadlines", []cut.End{cut.EndTimeout}},
}

// write writes the account and the near misses.
func (a *Account) write(w io.Writer) {
	fmt.Fprintln(w, "ACCOUNT\tREQUESTS\tSENT\tAT OWN STOP")
	rest := a.Ends
	for _, g := range accountGroups {
		var sum EndCount
		sum, rest = take(rest, g.ends)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", g.name, sum.Requests, sum.Sent, sum.Stopping)
	}
	for _, e := range rest {
		cause := strings.Join(strings.Fields(e.End+" by "+e.By+" in "+e.State+" "+e.Reason), " ")
		fmt.Fprintf(w, "rest: %s\t%d\t%d\t%d\n", cause, e.Requests, e.Sent, e.Stopping)
	}
	fmt.Fprintf(w, "without an end\t%d\t%d\t\t%s\n", a.Open, a.Open, strings.Join(a.OpenIDs[:min(len(a.OpenIDs), maxIDsInTable)], " "))
	fmt.Fprintf(w, "received\t%d\t\t\tof them %d without a beginning\n\t\n", a.Received, a.Unbegun)
	if len(a.NearMisses) == 0 {
		return
	}
	fmt.Fprintln(w, "ENDED AT WORK\tSTATE\tBY\tREASON\tREQUESTS\tAT OWN STOP\tSINCE SIGNAL\tRUNS ENDED BY\tREQUEST IDS")
	for _, m := range a.NearMisses {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d-%d ms\t%s\t%s\n", m.End, m.State, m.By, m.Reason, m.Requests, m.Stopping, m.FirstMS, m.LastMS,
			formatCounts(m.Runs), strings.Join(m.IDs[:min(len(m.IDs), maxIDsInTable)], " "))
	}
	fmt.Fprintln(w, "\t")
}

// take returns the sum of the counts with one of the given ends, and the others.
func take(counts []EndCount, ends []cut.End) (sum EndCount, rest []EndCount) {
	for _, e := range counts {
		taken := false
		for _, end := range ends {
			taken = taken || e.End == end.String()
		}
		if !taken {
			rest = append(rest, e)
			continue
		}
		sum.Requests += e.Requests
		sum.Sent += e.Sent
		sum.Stopping += e.Stopping
	}
	return sum, rest
}
