// Command yuccaport distributes the configuration of a service mesh and carries its callers' requests.
package main

import (
	"context"
	"os"

	"github.com/yuccaport/yuccaport/src/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
}
