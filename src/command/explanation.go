package command

import (
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/dispatch"
)

// printExplanation writes an explanation as a table.
func printExplanation(cmd *cli.Command, x dispatch.Explanation) error {
	printf(cmd, "version %d, service %s, route %s, idempotent %t\nchoice %d: %s\n", x.Version, x.Service, x.Route, x.Idempotent, x.Choice, x.Reason)
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tSERVICE\tDOMAIN\tUSABLE\tWHY\tSCORE\tIN FLIGHT\tFREE\tSHARE")
	for _, c := range x.Candidates {
		fmt.Fprintf(w, "%d\t%s\t%s\t%t\t%s\t%.2f\t%d\t%.1f\t%.2f\n", c.Member, c.Service, c.Domain, c.Usable, c.Obstacle, c.Score, c.InFlight, c.Free, c.Share)
	}
	return w.Flush()
}
