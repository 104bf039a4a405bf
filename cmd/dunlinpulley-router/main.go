// Command dunlinpulley-router runs one gateway, which forwards requests to endpoints
// that have no agent. See --help for its settings.
package main

import (
	"context"
	"os"

	"github.com/dunlinpulley/dunlinpulley/internal/settings"
	"github.com/dunlinpulley/dunlinpulley/internal/signals"
	"github.com/dunlinpulley/dunlinpulley/platform/wiring"
)

func main() {
	received := signals.Notify()
	err := wiring.RouterCommand(received).Run(context.Background(), os.Args)
	os.Exit(settings.ExitCode(os.Stderr, err))
}
