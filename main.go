// Command pulleyring schedules multi-accelerator jobs under workspace guarantees.
package main

import (
	"os"

	"github.com/pulleyring/pulleyring/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
