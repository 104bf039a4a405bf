package main

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dunlinpulley/dunlinpulley/internal/settings"
)

// envPrefix is the prefix of environment variables that set flags.
const envPrefix = settings.EnvPrefix + "STANDIN_"

// Bounds of settings.
const (
	minTime  = time.Microsecond
	maxTime  = time.Hour
	maxCount = 1 << 30
)

// newFlag returns a flag whose value settings.Reader parses and checks. Its
// environment variable is envPrefix with the name in upper case, such as
// DUNLINPULLEY_STANDIN_MAX_BATCH for max-batch.
func newFlag(name, value, usage string) cli.Flag {
	flag := settings.NewFlag(name, value, usage)
	flag.Sources = cli.EnvVars(envPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
	return flag
}
