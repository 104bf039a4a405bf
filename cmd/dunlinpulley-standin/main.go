// Command dunlinpulley-standin runs a stand-in for the platform, a model engine or
// a plain service, for tests and trials on one machine. See --help for its settings.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/dunlinpulley/dunlinpulley/internal/app"
	"github.com/dunlinpulley/dunlinpulley/internal/logs"
	"github.com/dunlinpulley/dunlinpulley/internal/settings"
)

func main() {
	logs.Configure(os.Stderr, "standin")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := command().Run(ctx, os.Args)
	stop()
	os.Exit(settings.ExitCode(os.Stderr, err))
}

func command() *cli.Command {
	return &cli.Command{
		Name:         "dunlinpulley-standin",
		Usage:        "stand-ins for the platform, model engines and plain services",
		Version:      app.Version,
		OnUsageError: settings.UsageError,
		Commands:     []*cli.Command{engineCommand(), serviceCommand(), platformCommand()},
	}
}
