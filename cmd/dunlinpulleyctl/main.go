// Command dunlinpulleyctl is the operators' command line. See --help for its
// commands and docs/operating/configuration.md for its exit codes.
package main

import (
	"context"
	"os"

	"github.com/dunlinpulley/dunlinpulley/internal/ctl"
)

// version is the release version, set by the linker with -X.
var version = "dev"

func main() {
	err := ctl.New(version).Command().Run(context.Background(), os.Args)
	os.Exit(ctl.ExitCode(os.Stderr, err))
}
