// Command dunlinpulley-dev runs a whole deployment in one process, for development.
// See --help for its settings.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/dunlinpulley/dunlinpulley/internal/app"
	"github.com/dunlinpulley/dunlinpulley/internal/settings"
	"github.com/dunlinpulley/dunlinpulley/platform/wiring"
)

func main() {
	err := command().Run(context.Background(), os.Args)
	os.Exit(settings.ExitCode(os.Stderr, err))
}

// command returns the command line of app.DevCommand with a flag to run a gateway
// on the users' platform instead.
func command() *cli.Command {
	cmd := app.DevCommand()
	cmd.Flags = append(cmd.Flags, &cli.BoolFlag{
		Name: "platform", Usage: "with --once: run a gateway against stand-ins of the users' platform instead of entries and agents",
	})
	runEmbedded := cmd.Action
	cmd.Action = func(ctx context.Context, c *cli.Command) error {
		if c.Bool("platform") {
			return wiring.RunDevCheck(ctx, os.Stdout)
		}
		return runEmbedded(ctx, c)
	}
	return cmd
}
