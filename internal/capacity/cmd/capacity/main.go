// Command capacity measures how each role grows with size and writes the tables of
// docs/capacity.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/capacity"
)

func main() {
	command := &cli.Command{
		Name:  "capacity",
		Usage: "measure how each role grows with size",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "docs/capacity", Usage: "directory of the tables"},
			&cli.IntFlag{Name: "runs", Value: 5, Usage: "runs at each size"},
			&cli.StringFlag{Name: "only", Usage: "measures whose names contain this"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(_ context.Context, c *cli.Command) error {
	discardLogs()
	for _, m := range capacity.All() {
		if !strings.Contains(m.Name, c.String("only")) {
			continue
		}
		if err := m.WriteTable(c.String("out"), c.Int("runs")); err != nil {
			return err
		}
		fmt.Println(m.Name)
	}
	return nil
}

// discardLogs turns logging off, so that its CPU time is not measured.
func discardLogs() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("stderrthreshold", "FATAL")
	klog.SetLogger(klog.Logger{})
}
