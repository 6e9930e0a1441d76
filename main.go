// Command yuccaport distributes the configuration of a service mesh and carries its callers' requests.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	app := &cli.Command{Name: "yuccaport", Usage: "distributes the configuration of a service mesh"}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "yuccaport:", err)
		os.Exit(1)
	}
}
