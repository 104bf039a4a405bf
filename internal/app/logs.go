// Package app wires the programs together: settings, cores, links, clients,
// logs, metrics and shutdown. It holds no policy.
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

// verbosityFlagName is the flag of the detail of logs.
const verbosityFlagName = "log-verbosity"

// maxVerbosity is the most detailed level that is logged at.
const maxVerbosity = logs.MaxVerbosity

func verbosityFlag() cli.Flag {
	return settings.Text(verbosityFlagName, "0", "detail of the logs, a `NUMBER`: 1 adds runs and failed requests, 2 failed polls")
}

// setVerbosity puts the detail of the logs in force.
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
