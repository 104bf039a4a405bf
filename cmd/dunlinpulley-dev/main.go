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

// command returns the command line of app.DevCommand with a flag to check a gateway
// instead, on a stand-in platform whose endpoints have no agents.
func command() *cli.Command {
	cmd := app.DevCommand()
	cmd.Flags = append(cmd.Flags, &cli.BoolFlag{
		Name: "platform", Usage: "check a gateway with stand-ins for its store and endpoints, in place of entries and agents, and exit",
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
