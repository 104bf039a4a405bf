// Command dunlinpulley-entry runs one entry, the process that accepts callers'
// requests. See --help for its settings.
package main

import (
	"context"
	"os"

	"github.com/dunlinpulley/dunlinpulley/internal/app"
	"github.com/dunlinpulley/dunlinpulley/internal/settings"
)

func main() {
	err := app.EntryCommand().Run(context.Background(), os.Args)
	os.Exit(settings.ExitCode(os.Stderr, err))
}
