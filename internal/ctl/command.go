// Package ctl implements the command line of dunlinpulleyctl, which operators use
// to check and apply declarations, drain and stop endpoints, and read status and
// audit trail. It works through the operator API of any entry and keeps no state.
package ctl

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/dunlinpulley/dunlinpulley/internal/operatorapi"
	"github.com/dunlinpulley/dunlinpulley/internal/settings"
)

// Program is the command line with its external dependencies.
type Program struct {
	Version string
	// Client sends the requests.
	Client *http.Client
	// Sleep waits between two requests for the status.
	Sleep func(time.Duration)
	// NewChange generates a change identifier if the operator gives none.
	NewChange func() string
	// Random is the source of randomness for new keys.
	Random io.Reader
}

// requestTimeout bounds one request. It is longer than applyTimeout and operateTimeout
// of package revision (10 s), after which an entry reports a change or an order as
// unknown or not reached.
const requestTimeout = 30 * time.Second

// maxHeadBytes and maxReplyBytes limit the head and the body of a reply. The largest body has the documents of the whole
// deployment, as a reply of the platform to an entry does.
const maxHeadBytes, maxReplyBytes = 64 << 10, 64 << 20

// New returns a program with the dependencies for production.
func New(version string) *Program {
	return &Program{
		Version:   version,
		Client:    &http.Client{Timeout: requestTimeout, Transport: &http.Transport{Proxy: http.ProxyFromEnvironment, MaxResponseHeaderBytes: maxHeadBytes}},
		Sleep:     time.Sleep,
		NewChange: uuid.NewString,
		Random:    rand.Reader,
	}
}

const description = `Exit codes:
  0  done
  1  not done: the entry refused or can't be reached
  2  wrong flags or arguments
  3  wrong declarations, nothing was sent
  4  conflict: another operator's change came first
  5  done, and some process does not have it yet
  6  unknown: may be done; the same command with the same --change-id is safe
  7  diff --check found differences`

// Command returns the command line.
func (p *Program) Command() *cli.Command {
	return &cli.Command{
		Name:         "dunlinpulleyctl",
		Usage:        "applies declarations, and drains and stops endpoints",
		Description:  description,
		Version:      p.Version,
		OnUsageError: settings.UsageError,
		Commands: []*cli.Command{
			p.validateCommand(),
			p.diffCommand(),
			p.applyCommand(),
			p.showCommand(),
			p.orderCommand(operatorapi.OrderDrain, "send no new work to an endpoint and let its running requests finish"),
			p.orderCommand(operatorapi.OrderUndrain, "send new work to an endpoint again"),
			p.orderCommand(operatorapi.OrderStop, "drain an endpoint, and stop its agent once no request runs"),
			p.statusCommand(),
			p.auditCommand(),
			p.keyCommand(),
		},
	}
}

// connectionFlags returns the flags of a command that calls an entry, with more
// flags of its own.
func connectionFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		settings.NewFlag("server", "http://127.0.0.1:8081", "`URL` of the operator API of any entry"),
		settings.NewFlag("token", "", "the operator's `TOKEN`; better in the environment than on the command line"),
	}, more...)
}

// command returns a command whose usage errors settings.UsageError reports.
func (p *Program) command(name, arguments, usage string, action cli.ActionFunc, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name:         name,
		ArgsUsage:    arguments,
		Usage:        usage,
		Flags:        flags,
		Action:       action,
		OnUsageError: settings.UsageError,
	}
}

// newClient returns a client from the connection flags. It adds invalid flags to r.
func (p *Program) newClient(r *settings.Reader, cmd *cli.Command) *client {
	token := cmd.String("token")
	if token == "" {
		r.InvalidSetting("token", "", "an operator's token, best in "+settings.EnvPrefix+"TOKEN")
	}
	return &client{http: p.Client, server: r.URL("server"), token: token}
}

func changeFlag() cli.Flag {
	return settings.NewFlag("change-id", "", "`ID` of the change; giving the same one again changes nothing (default: a new one)")
}

func yesFlag() cli.Flag {
	return &cli.BoolFlag{Name: "yes", Usage: "don't ask for confirmation", Sources: cli.EnvVars(settings.EnvPrefix + "YES")}
}

func outputFlag() cli.Flag {
	return settings.NewFlag("output", outputTable, "output `FORMAT`: table or json")
}

// changeID returns the change identifier from the flag, or a new one.
func (p *Program) changeID(cmd *cli.Command) string {
	if id := cmd.String("change-id"); id != "" {
		return id
	}
	return p.NewChange()
}

func (p *Program) keyCommand() *cli.Command {
	create := p.command("new", "", "print a new key or token, and the hash of it to declare", func(_ context.Context, cmd *cli.Command) error {
		if err := settings.NewReader(cmd).Err(); err != nil {
			return err
		}
		return p.printNewKey(cmd.Root().Writer)
	})
	return &cli.Command{Name: "key", Usage: "make keys for client accounts and tokens for operators", Commands: []*cli.Command{create}}
}
