package load

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dunlinpulley/dunlinpulley/internal/app"
	logsetup "github.com/dunlinpulley/dunlinpulley/internal/logs"
	"github.com/dunlinpulley/dunlinpulley/internal/settings"
)

// Bounds of settings.
const (
	minDuration = time.Second
	maxDuration = time.Hour
	maxLoad     = 100.0
)

const (
	// defaultLoadFactor and overloadFactor are default rates of model calls, as
	// multiples of the engines' capacity. The latter is for the scenarios burst and
	// straggler, which need more calls than the engines can answer.
	defaultLoadFactor = 0.8
	overloadFactor    = 1.5
	// exampleKeyPrefix begins the key of each account in the example declarations.
	exampleKeyPrefix = "example-only-"
)

// Formats of the report.
const (
	formatText = "text"
	formatJSON = "json"
)

// Command is the command line of dunlinpulley-load.
func Command() *cli.Command {
	return &cli.Command{
		Name:         "dunlinpulley-load",
		Usage:        "sends an open-loop load and reports attainment by class, goodput and wasted work",
		Version:      app.Version,
		OnUsageError: settings.UsageError,
		Flags: []cli.Flag{
			settings.NewFlag("target", "", "`URLS` of entries, separated by commas; empty starts the deployment in this process"),
			settings.NewFlag("key-prefix", "", "`PREFIX` of each account's key, before its name; empty means the example keys"),
			&cli.BoolFlag{Name: "embedded", Usage: "start the deployment in this process, as without --target"},
			settings.NewFlag("deployment", app.PortHuron, "`NAME` of the deployment: port-huron or hwanyeong"),
			settings.NewFlag("scenario", string(ScenarioSteady),
				"`NAME`: steady, burst, straggler, crash, drain, store-outage or silent-link"),
			settings.NewFlag("duration", "20s", "`TIME` during which calls arrive"),
			settings.NewFlag("warm-up", "15s", "`TIME` before the first arrival at a deployment in this process; baselines have no warm-up"),
			settings.NewFlag("seed", "1", "seed `NUMBER` of arrivals and prompts"),
			settings.NewFlag("load", "", "rate of model calls as a `FACTOR` of the engines' capacity; empty means 1.5 in burst and straggler, otherwise 0.8"),
			settings.NewFlag("baseline", string(BaselineNone),
				"`NAME` of the policy used instead of the entries: none, round-robin or least-reported-load"),
			settings.NewFlag("report", formatText, "`FORMAT` of the report: text or json"),
			&cli.BoolFlag{Name: "verbose", Usage: "print logs"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	s, format, err := readSettings(cmd)
	if err != nil {
		return err
	}
	logs := io.Discard
	if cmd.Bool("verbose") {
		logs = os.Stderr
	}
	logsetup.Configure(logs, cmd.Name)
	if isTerminal(os.Stderr) {
		s.Progress = func(sent, ended int) { fmt.Fprintf(os.Stderr, "\rsent %d, ended %d ", sent, ended) }
	}
	report, err := Run(ctx, s)
	if err != nil {
		return err
	}
	if s.Progress != nil {
		fmt.Fprintln(os.Stderr)
	}
	if format == formatJSON {
		return report.WriteJSON(os.Stdout)
	}
	return report.WriteText(os.Stdout)
}

// readSettings returns the settings of the run and the format of the report.
func readSettings(cmd *cli.Command) (Settings, string, error) {
	r := settings.NewReader(cmd)
	s := Settings{
		Deployment: r.OneOf("deployment", app.PortHuron, app.Hwanyeong),
		Scenario: Scenario(r.OneOf("scenario", string(ScenarioSteady), string(ScenarioBurst), string(ScenarioStraggler),
			string(ScenarioCrash), string(ScenarioDrain), string(ScenarioStoreOutage), string(ScenarioSilentLink))),
		Baseline:  Baseline(r.OneOf("baseline", string(BaselineNone), string(BaselineRoundRobin), string(BaselineLeastLoad))),
		Duration:  r.Duration("duration", minDuration, maxDuration),
		WarmUp:    r.Duration("warm-up", 0, maxDuration),
		Seed:      r.Uint64("seed"),
		KeyPrefix: cmd.String("key-prefix"),
	}
	format := r.OneOf("report", formatText, formatJSON)
	s.Load = readLoad(r, cmd, s.Scenario)
	s.Targets = readTargets(r, cmd)
	if s.KeyPrefix == "" {
		s.KeyPrefix = exampleKeyPrefix + s.Deployment + "-"
	}
	if len(s.Targets) > 0 {
		checkTargetSettings(r, cmd, &s)
	}
	return s, format, r.Err()
}

// readLoad reads the load, whose default depends on the scenario.
func readLoad(r *settings.Reader, cmd *cli.Command, scenario Scenario) float64 {
	text := cmd.String("load")
	if text == "" {
		if scenario == ScenarioBurst || scenario == ScenarioStraggler {
			return overloadFactor
		}
		return defaultLoadFactor
	}
	load, err := strconv.ParseFloat(text, 64)
	if err != nil || !(load > 0 && load <= maxLoad) {
		r.InvalidSetting("load", text, fmt.Sprintf("a number above 0, at most %v", maxLoad))
	}
	return load
}

// readTargets reads the URLs of entries. Nil means a deployment in this process.
func readTargets(r *settings.Reader, cmd *cli.Command) []string {
	text := cmd.String("target")
	if text == "" {
		return nil
	}
	var targets []string
	for target := range strings.SplitSeq(text, ",") {
		address, ok := strings.CutPrefix(target, "http://")
		_, err := netip.ParseAddrPort(address)
		if !ok || err != nil {
			r.InvalidSetting("target", target, "http URLs of IP addresses and ports, separated by commas")
			continue
		}
		targets = append(targets, target)
	}
	return targets
}

// checkTargetSettings adds to r the settings that need a deployment in this process
// and so can't be combined with --target.
func checkTargetSettings(r *settings.Reader, cmd *cli.Command, s *Settings) {
	if cmd.Bool("embedded") {
		r.InvalidSetting("embedded", "true", "not together with --target")
	}
	if s.Baseline != BaselineNone {
		r.InvalidSetting("baseline", string(s.Baseline), "none with --target")
	}
	if s.Scenario != ScenarioSteady && s.Scenario != ScenarioBurst {
		r.InvalidSetting("scenario", string(s.Scenario), "steady or burst with --target")
	}
}

// isTerminal reports whether a file is a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
