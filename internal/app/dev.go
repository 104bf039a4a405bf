package app

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	logsetup "github.com/dunlinpulley/dunlinpulley/internal/logs"
	"github.com/dunlinpulley/dunlinpulley/internal/settings"
)

// devEntries is the number of entries that dunlinpulley-dev starts.
const devEntries = 2

// DevCommand is the command line of dunlinpulley-dev.
func DevCommand() *cli.Command {
	return &cli.Command{
		Name:         "dunlinpulley-dev",
		Usage:        "runs two entries, agents and stand-ins of one deployment in one process on loopback",
		Version:      Version,
		OnUsageError: settings.UsageError,
		Flags: []cli.Flag{
			settings.NewFlag("deployment", PortHuron, "`NAME` of the deployment: port-huron or hwanyeong"),
			settings.NewFlag("listen", "127.0.0.1:8080", "`ADDRESS` of the caller API"),
			settings.NewFlag("admin", "127.0.0.1:8081", "`ADDRESS` of the operator API"),
			&cli.BoolFlag{Name: "once", Usage: "make three calls, one of them twice, print their outcomes and exit; listens on any free ports"},
			&cli.BoolFlag{Name: "verbose", Usage: "print logs"},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, cmd *cli.Command) error {
	r := settings.NewReader(cmd)
	s := DeploymentSettings{
		Name:         r.OneOf("deployment", PortHuron, Hwanyeong),
		Entries:      devEntries,
		Listen:       r.Address("listen"),
		AdminAddress: r.Address("admin"),
	}
	if err := r.Err(); err != nil {
		return err
	}
	logs := io.Discard
	if cmd.Bool("verbose") {
		logs = os.Stderr
	}
	logsetup.Configure(logs, cmd.Name)
	once := cmd.Bool("once")
	if once {
		s.Listen, s.AdminAddress = loopbackAddress, loopbackAddress
	}
	// SIGHUP keeps its default effect: the deployment ends with its terminal.
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	d, err := StartDeployment(s)
	if err != nil {
		return err
	}
	defer d.Close()
	if once {
		return runSmokeCalls(ctx, os.Stdout, d)
	}
	printAddresses(os.Stdout, s.Name, d)
	<-received
	return nil
}

// exampleCaller is a client account of an example deployment, with calls that the
// account may make.
type exampleCaller struct {
	key      string
	model    string
	service  string
	action   string // path and request class of the call of service
	question string // asked of model
}

// exampleCallerOf returns the caller of an example deployment.
func exampleCallerOf(deployment string) exampleCaller {
	if deployment == Hwanyeong {
		return exampleCaller{
			key: "example-only-hwanyeong-shop-counter", model: "magic-assistant", service: "orders",
			action: "place-order", question: "Which rope suits a parlour act?",
		}
	}
	return exampleCaller{
		key: "example-only-port-huron-shaft-gate", model: "desk-assistant", service: "ticketing",
		action: "issue-ticket", question: "When does the next cage leave?",
	}
}

// printAddresses writes the deployment's addresses, its example credentials and an
// example request.
func printAddresses(w io.Writer, deployment string, d *Deployment) {
	c := exampleCallerOf(deployment)
	for i, e := range d.Entries {
		fmt.Fprintf(w, "entry %d: caller API http://%s, operator API http://%s\n", i+1, e.CallerAddress, e.AdminAddress)
	}
	fmt.Fprintf(w, "table service: http://%s\n", d.PlatformAddress)
	fmt.Fprintf(w, "caller key: %s\n", c.key)
	fmt.Fprintf(w, "operator token: example-only-%s-operator-alma\n\n", deployment)
	fmt.Fprintf(w, "curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n", d.Entries[0].CallerAddress, c.key)
	fmt.Fprintf(w, "  -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}'\n", c.model, c.question)
}
