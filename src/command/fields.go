package command

import (
	"fmt"
	"reflect"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// printFields writes a report as a table of its JSON keys.
func printFields(cmd *cli.Command, report any) error {
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 4, 2, ' ', 0)
	v := reflect.ValueOf(report)
	for i := range v.NumField() {
		fmt.Fprintf(w, "%s\t%v\n", v.Type().Field(i).Tag.Get("json"), v.Field(i).Interface())
	}
	return w.Flush()
}
