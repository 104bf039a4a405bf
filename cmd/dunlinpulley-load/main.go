// Command dunlinpulley-load sends an open-loop load to a deployment and reports its
// results. See --help for its settings.
package main

import (
	"context"
	"os"

	"github.com/dunlinpulley/dunlinpulley/internal/load"
	"github.com/dunlinpulley/dunlinpulley/internal/settings"
)

func main() {
	err := load.Command().Run(context.Background(), os.Args)
	os.Exit(settings.ExitCode(os.Stderr, err))
}
