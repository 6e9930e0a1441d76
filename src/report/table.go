package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

const maxIDsInTable = 3 // of requests that were cut; all are in the JSON

// WriteTable writes the report for people, with the worst windows, at most the given number.
func (r *Report) WriteTable(w io.Writer, windows int) error {
	fmt.Fprintf(w, "%d log lines from %s to %s, %d lines skipped\n\n", r.Lines, r.From.Format("15:04:05.000"), r.To.Format("15:04:05.000"), r.Skipped)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "ROUTE\tSERVICE\tASKED\tIN OBJECTIVE\tLATE\tFAILED\tREFUSED\tGONE\tPOSSIBLE ALONE\tATTEMPTS\tWAIT EXPECTED\tWAIT")
	for _, x := range r.Routes {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%d\t%d\t%d\t%.0f ms\t%.0f ms\n", x.Name, x.Service, x.Asked, x.InObjective, x.Late, x.Failed, formatCounts(x.Refused), x.Gone, x.Possible, x.Attempts, x.ExpectedWaitMS, x.WaitMS)
	}
	fmt.Fprintln(t, "\t")
	fmt.Fprintln(t, "SERVICE\tASKED\tREACHED\tPOSSIBLE\tWORK ASKED\tCAPACITY")
	for _, x := range r.Bounds {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.0f s\t%.0f s\n", x.Service, x.Asked, x.Reached, x.Possible, x.Work, x.Capacity)
	}
	fmt.Fprintln(t, "\t")
	fmt.Fprintln(t, "SERVER\tSERVICE\tSLOTS\tANSWERS\tIN VAIN\tUNANSWERED\tIDLE BESIDE REFUSALS\tREFUSALS")
	for _, x := range r.Servers {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.1f s\t%.1f s\t%.1f s\t%.1f s\t%d\n", x.Agent, x.Service, x.Slots, x.Answers, x.InVain, x.Unanswered, x.IdleRefused, x.Refusals)
	}
	fmt.Fprintln(t, "\t")
	r.Account.write(t)
	r.writeCuts(t)
	fmt.Fprintln(t, "WINDOW\tASKED\tLOST\tLATE\tIDLE SLOTS\tLARGEST CAUSES")
	for _, x := range r.Windows[:min(windows, len(r.Windows))] {
		causes := []string{}
		for _, c := range x.Causes {
			causes = append(causes, fmt.Sprintf("%s %s %d", c.Route, c.Reason, c.Calls))
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f\t%s\n", x.From.Format("15:04:05.000"), x.Asked, x.Lost, x.Late, x.Idle, strings.Join(causes, ", "))
	}
	return t.Flush()
}

// writeCuts writes the requests that were cut, with the first of their IDs, if there are any.
func (r *Report) writeCuts(w io.Writer) {
	if len(r.Cuts) == 0 {
		return
	}
	fmt.Fprintln(w, "CUT AT\tSTATE\tBY\tREQUESTS\tAT OWN STOP\tSINCE SIGNAL\tREQUEST IDS")
	for _, x := range r.Cuts {
		ids := x.IDs[:min(len(x.IDs), maxIDsInTable)]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d-%d ms\t%s\n", x.Logger, x.State, x.By, x.Requests, x.Stopping, x.FirstMS, x.LastMS, strings.Join(ids, " "))
	}
	fmt.Fprintln(w, "\t")
}

// formatCounts formats counts by name, "0" for none.
func formatCounts(counts map[string]int) string {
	parts := []string{}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ", ")
}
