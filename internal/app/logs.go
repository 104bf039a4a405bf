package app

import (
	"flag"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/logs"
	"github.com/dunlinpulley/dunlinpulley/internal/settings"
)

// verbosityFlagName is the name of the flag for the log level.
const verbosityFlagName = "log-verbosity"

// maxVerbosity is the highest level at which anything is logged.
const maxVerbosity = logs.MaxVerbosity

func verbosityFlag() cli.Flag {
	return settings.NewFlag(verbosityFlagName, "0", "log level, a `NUMBER`: 1 adds runs and failed requests, 2 failed polls")
}

// setVerbosity sets the log level from the flag.
func setVerbosity(cmd *cli.Command) error {
	r := settings.NewReader(cmd)
	level := r.Int(verbosityFlagName, 0, maxVerbosity)
	if err := r.Err(); err != nil {
		return err
	}
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return errors.Wrap(flags.Set("v", strconv.Itoa(level)), "step=set log verbosity")
}
