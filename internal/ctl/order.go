package ctl

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/dunlinpulley/dunlinpulley/internal/operatorapi"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
	"github.com/dunlinpulley/dunlinpulley/internal/settings"
)

// orderCommand returns the command that gives one kind of order to an endpoint.
func (p *Program) orderCommand(order operatorapi.Order, usage string) *cli.Command {
	return p.command(string(order), "ENDPOINT", usage, func(ctx context.Context, cmd *cli.Command) error {
		r := settings.NewArgsReader(cmd, "ENDPOINT")
		c := p.newClient(r, cmd)
		if err := r.Err(); err != nil {
			return err
		}
		endpoint := cmd.Args().First()
		if !confirm(cmd, fmt.Sprintf("%s endpoint %s?", order, endpoint)) {
			return exitf(ExitFailure, "not confirmed, nothing was sent")
		}
		changeID := p.changeID(cmd)
		fmt.Fprintf(cmd.Root().Writer, "change %s\n", changeID)
		reply, err := c.order(ctx, order, endpoint, changeID)
		if err != nil {
			return requestError(err, changeID)
		}
		return p.printOrderReply(cmd, order, endpoint, reply)
	}, connectionFlags(changeFlag(), yesFlag())...)
}

// printOrderReply prints the result of an order, or returns it as an error if the
// order is not in force.
func (p *Program) printOrderReply(cmd *cli.Command, order operatorapi.Order, endpoint string, reply operatorapi.OrderReply) error {
	w := cmd.Root().Writer
	recordNote := fmt.Sprintf("recorded by revision %d", reply.Revision)
	if !reply.Recorded {
		recordNote = "not recorded yet; it will be once the store is back"
	}
	switch reply.Status {
	case revision.OperateInForce.String():
		fmt.Fprintf(w, "%s of %s is in force, %d requests run there; %s\n", order, endpoint, reply.Running, recordNote)
		return nil
	case revision.OperateRepeated.String():
		fmt.Fprintf(w, "%s of %s was ordered before under this change identifier, nothing was changed now\n", order, endpoint)
		return nil
	case revision.OperateSuperseded.String():
		return exitf(ExitConflict, "conflict: a later order or change is in force at %s", endpoint)
	case revision.OperateUnknownEndpoint.String():
		return exitf(ExitFailure, "no endpoint %s is declared", endpoint)
	}
	if reply.Status != revision.OperateNotReached.String() {
		return exitf(ExitUnknown, "The outcome of the order is unknown. Run the same command with the same change identifier.")
	}
	return exitf(ExitBehind, "the agent of %s does not answer; the order is sent until it does, and is %s", endpoint, recordNote)
}
