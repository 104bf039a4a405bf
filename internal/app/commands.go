package app

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/logs"
	"github.com/dunlinpulley/dunlinpulley/internal/settings"
	"github.com/dunlinpulley/dunlinpulley/internal/signals"
	"github.com/dunlinpulley/dunlinpulley/internal/wire"
)

// Bounds of settings.
const (
	maxStopNotice = time.Minute
	minSlots      = 1
	maxSlots      = 4096
)

// exitInterrupted is the exit status after a second stop signal, which ends the
// process with work in progress.
const exitInterrupted = 3

// EntryCommand is the command line of dunlinpulley-entry.
func EntryCommand() *cli.Command {
	return &cli.Command{
		Name:         "dunlinpulley-entry",
		Usage:        "accepts callers' requests and queues each until an agent grants it a slot",
		Version:      Version,
		OnUsageError: settings.UsageError,
		Flags: []cli.Flag{
			settings.NewFlag("name", "", "this entry's `NAME` in the declarations"),
			settings.NewFlag("data-centre", "", "`NAME` of the data centre that this host is in"),
			settings.NewFlag("listen", "127.0.0.1:8080", "`ADDRESS` of the caller API"),
			settings.NewFlag("admin", "127.0.0.1:8081", "`ADDRESS` of the operator API"),
			settings.NewFlag("peer-listen", "127.0.0.1:7001", "`ADDRESS` where other entries connect"),
			settings.NewFlag("store", "http://127.0.0.1:9000", "`URL` of the platform's table service and host list"),
			settings.NewFlag("peers", "", "other entries to get the first configuration from, as `NAME=IP:PORT,...`"),
			settings.NewFlag("first-token-hash", "", "hex SHA-256 `HASH` of the operator token that is valid while no operator is declared"),
			settings.NewFlag("stop-notice", "5s", "`TIME` between failing readiness and refusing calls at shutdown"),
			verbosityFlag(),
		},
		Action: runEntry,
	}
}

func readEntrySettings(cmd *cli.Command) (EntrySettings, error) {
	r := settings.NewReader(cmd)
	s := EntrySettings{
		Name:         r.Name("name"),
		DataCentre:   r.Name("data-centre"),
		Listen:       r.Address("listen"),
		AdminAddress: r.Address("admin"),
		PeerListen:   r.Address("peer-listen"),
		Store:        r.URL("store"),
		StopNotice:   r.Duration("stop-notice", 0, maxStopNotice),
	}
	if text := cmd.String("first-token-hash"); text != "" {
		hash, ok := declaration.ParseKeyHash(text)
		if !ok {
			r.InvalidSetting("first-token-hash", text, "64 hexadecimal digits, or none")
		}
		s.BootstrapTokenHash = hash
	}
	for _, p := range r.NamedAddresses("peers") {
		s.Peers = append(s.Peers, wire.PeerTarget{ID: domain.EntryID(p.Name), Address: p.Address})
	}
	return s, r.Err()
}

func runEntry(_ context.Context, cmd *cli.Command) error {
	received := serviceSignals()
	s, err := readEntrySettings(cmd)
	if err != nil {
		return err
	}
	if err := setVerbosity(cmd); err != nil {
		return err
	}
	logs.Configure(os.Stderr, s.Name)
	e, err := StartEntry(s)
	if err != nil {
		return err
	}
	<-received
	stopped := make(chan struct{})
	go func() {
		e.Shutdown()
		close(stopped)
	}()
	select {
	case <-stopped:
		return nil
	case <-received:
		return forcedExit("entry", e.CallsInProgress())
	}
}

// AgentCommand is the command line of dunlinpulley-agent.
func AgentCommand() *cli.Command {
	return &cli.Command{
		Name:         "dunlinpulley-agent",
		Usage:        "controls one endpoint: grants its slots, runs the calls handed over to it, drains it",
		Version:      Version,
		OnUsageError: settings.UsageError,
		Flags: []cli.Flag{
			settings.NewFlag("endpoint", "", "the endpoint's `NAME` in the declarations"),
			settings.NewFlag("data-centre", "", "`NAME` of the data centre that this host is in"),
			settings.NewFlag("listen", "127.0.0.1:7101", "`ADDRESS` where entries connect"),
			settings.NewFlag("agent-admin", "127.0.0.1:7201", "`ADDRESS` of the health and metrics pages"),
			settings.NewFlag("engine", "127.0.0.1:9101", "`ADDRESS` of the endpoint"),
			settings.NewFlag("kind", KindModel, "`KIND` of endpoint: model or plain"),
			settings.NewFlag("slots", "16", "maximum `NUMBER` of concurrent attempts"),
			settings.NewFlag("store", "http://127.0.0.1:9000", "`URL` of the platform's table service"),
			verbosityFlag(),
		},
		Action: runAgent,
	}
}

func readAgentSettings(cmd *cli.Command) (AgentSettings, error) {
	r := settings.NewReader(cmd)
	s := AgentSettings{
		Endpoint:        r.Name("endpoint"),
		DataCentre:      r.Name("data-centre"),
		Listen:          r.Address("listen"),
		AdminAddress:    r.Address("agent-admin"),
		EndpointAddress: r.Address("engine"),
		Kind:            r.OneOf("kind", KindModel, KindPlain),
		Slots:           r.Int("slots", minSlots, maxSlots),
		Store:           r.URL("store"),
	}
	return s, r.Err()
}

func runAgent(_ context.Context, cmd *cli.Command) error {
	received := serviceSignals()
	s, err := readAgentSettings(cmd)
	if err != nil {
		return err
	}
	if err := setVerbosity(cmd); err != nil {
		return err
	}
	logs.Configure(os.Stderr, s.Endpoint)
	a, err := StartAgent(s)
	if err != nil {
		return err
	}
	select {
	case <-received:
		a.Shutdown()
	case <-a.Exited():
	}
	select {
	case <-a.Exited():
		klog.InfoS("agent stopped", "endpoint", s.Endpoint)
		a.Close()
		return nil
	case <-received:
		return forcedExit("agent", a.Running())
	}
}

// serviceSignals returns a channel of the signals that stop an entry or an agent: the
// first gracefully, the second at once. SIGHUP is logged and has no other effect, as
// their settings are read at the start only.
func serviceSignals() <-chan os.Signal {
	received := signals.Notify()
	go func() {
		for range received.Reload {
			klog.InfoS("SIGHUP ignored", "reason", "settings are read at the start only")
		}
	}()
	return received.Stop
}

// forcedExit logs how many calls or runs a second signal aborts, and returns the
// error that makes the process exit with exitInterrupted.
func forcedExit(role string, inProgress int) error {
	klog.InfoS("ended by a second signal", "role", role, "cut", inProgress)
	return cli.Exit("", exitInterrupted)
}
