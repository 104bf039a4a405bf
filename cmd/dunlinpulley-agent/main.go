// Command dunlinpulley-agent runs one agent, the process beside an endpoint that
// controls it. See --help for its settings.
package main

import (
	"context"
	"os"

	"github.com/dunlinpulley/dunlinpulley/internal/app"
	"github.com/dunlinpulley/dunlinpulley/internal/settings"
)

func main() {
	err := app.AgentCommand().Run(context.Background(), os.Args)
	os.Exit(settings.ExitCode(os.Stderr, err))
}
