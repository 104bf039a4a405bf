package ctl

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/operatorapi"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
	"github.com/dunlinpulley/dunlinpulley/internal/settings"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	defaultApplyWait = "15s"
	maxApplyWait     = 10 * time.Minute
	// statusPollInterval is the time between two requests for the status while
	// apply waits.
	statusPollInterval = 500 * time.Millisecond
)

func (p *Program) validateCommand() *cli.Command {
	return p.command("validate", "DIR", "check the declarations of a directory, without any entry", func(_ context.Context, cmd *cli.Command) error {
		r := settings.NewArgsReader(cmd, "DIR")
		if err := r.Err(); err != nil {
			return err
		}
		docs, err := readDir(cmd.Args().First())
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.Root().Writer, "%d documents are right\n", len(docs))
		return nil
	})
}

// readDir reads the declarations of a directory.
func readDir(dir string) ([]*pb.Document, error) {
	if info, err := os.Stat(dir); err != nil || !info.IsDir() {
		return nil, settings.InvalidSettings{{Value: dir, Allowed: "a directory of declarations"}}
	}
	return declaration.Read(os.DirFS(dir))
}

func (p *Program) diffCommand() *cli.Command {
	check := &cli.BoolFlag{Name: "check", Usage: "exit with 7 when there are differences", Sources: cli.EnvVars(settings.EnvPrefix + "CHECK")}
	return p.command("diff", "DIR", "show what an apply of a directory would change", func(ctx context.Context, cmd *cli.Command) error {
		r := settings.NewArgsReader(cmd, "DIR")
		c := p.newClient(r, cmd)
		if err := r.Err(); err != nil {
			return err
		}
		plan, err := newPlan(ctx, c, cmd.Args().First(), cmd.Bool("files-decide"))
		if err != nil {
			return err
		}
		if err := plan.print(cmd.Root().Writer); err != nil {
			return err
		}
		if cmd.Bool("check") && len(plan.changes) > 0 {
			return exitf(ExitDifferent, "the directory differs from revision %d", plan.current.Revision())
		}
		return nil
	}, connectionFlags(check, filesDecideFlag())...)
}

// filesDecideFlag is the flag that lets the files overwrite the desired states that
// operators' orders have set.
func filesDecideFlag() cli.Flag {
	return &cli.BoolFlag{
		Name:    "files-decide",
		Usage:   "let the files put drained and stopped endpoints back to serving",
		Sources: cli.EnvVars(settings.EnvPrefix + "FILES_DECIDE"),
	}
}

// plan holds the changes that make the declarations in force equal to a directory.
type plan struct {
	current    *declaration.Set // the declarations in force
	changes    []*pb.Document   // an empty body removes the document
	keptOrders []string         // a line for each endpoint that keeps an operator's order
}

// newPlan compares the declarations in dir with those in force. Unless filesDecide
// is set, drained and stopped endpoints stay so.
func newPlan(ctx context.Context, c *client, dir string, filesDecide bool) (*plan, error) {
	declared, err := readDir(dir)
	if err != nil {
		return nil, err
	}
	reply, err := c.documents(ctx)
	if err != nil {
		return nil, err
	}
	var docs []*pb.Document
	for _, doc := range reply.Documents {
		docs = append(docs, &pb.Document{Kind: doc.Kind, Name: doc.Name, Revision: uint64(doc.Revision), Body: doc.Body})
	}
	current, err := declaration.Empty().With(reply.Revision, docs)
	if err != nil {
		return nil, errors.Wrap(err, "read the declarations in force")
	}
	p := &plan{current: current}
	if !filesDecide {
		if declared, err = p.keepOperatorOrders(declared); err != nil {
			return nil, err
		}
	}
	p.changes, err = current.ChangesTo(declared)
	return p, err
}

// keepOperatorOrders replaces the desired state of endpoints that the files declare
// as serving by the one in force, if they are drained or stopped. This way an apply
// does not undo an operator's order.
func (p *plan) keepOperatorOrders(documents []*pb.Document) ([]*pb.Document, error) {
	for i, doc := range documents {
		if doc.GetKind() != string(declaration.KindEndpoint) {
			continue
		}
		inForce, ok := p.current.Endpoint(domain.EndpointID(doc.GetName()))
		declared, err := declaration.DecodeEndpoint(doc)
		if err != nil {
			return nil, err
		}
		if !ok || inForce.Desired == domain.EndpointServing || declared.Desired != domain.EndpointServing {
			continue
		}
		p.keptOrders = append(p.keptOrders, fmt.Sprintf("endpoint %s stays %s, use undrain or --files-decide to change that", inForce.ID, inForce.Desired))
		if documents[i], err = declaration.WithDesiredState(doc, inForce.Desired); err != nil {
			return nil, err
		}
	}
	return documents, nil
}

// removals counts the documents that the plan removes.
func (p *plan) removals() int {
	n := 0
	for _, doc := range p.changes {
		if len(doc.GetBody()) == 0 {
			n++
		}
	}
	return n
}

// print writes the documents and fields that change.
func (p *plan) print(w io.Writer) error {
	added, changed := 0, 0
	for _, doc := range p.changes {
		key := declaration.DocumentKey(doc)
		old, exists := p.current.Document(key)
		mark := "+"
		switch {
		case len(doc.GetBody()) == 0:
			fmt.Fprintf(w, "- %s\n", key)
			continue
		case exists:
			mark = "~"
			changed++
		default:
			added++
		}
		fmt.Fprintf(w, "%s %s\n", mark, key)
		fields, err := declaration.Diff(old, doc)
		if err != nil {
			return err
		}
		for _, field := range fields {
			fmt.Fprintf(w, "    %s\n", field)
		}
	}
	for _, text := range p.keptOrders {
		fmt.Fprintln(w, text)
	}
	fmt.Fprintf(w, "%d added, %d changed, %d removed, from revision %d\n", added, changed, p.removals(), p.current.Revision())
	return nil
}

func (p *Program) applyCommand() *cli.Command {
	wait := settings.NewFlag("wait", defaultApplyWait, "`TIME` to wait until the change is in force everywhere")
	return p.command("apply", "DIR", "put the declarations of a directory in force, in place of all others", func(ctx context.Context, cmd *cli.Command) error {
		r := settings.NewArgsReader(cmd, "DIR")
		c := p.newClient(r, cmd)
		timeout := r.Duration("wait", 0, maxApplyWait)
		if err := r.Err(); err != nil {
			return err
		}
		plan, err := newPlan(ctx, c, cmd.Args().First(), cmd.Bool("files-decide"))
		if err != nil {
			return err
		}
		if err := plan.print(cmd.Root().Writer); err != nil {
			return err
		}
		if n := plan.removals(); n > 0 && !confirm(cmd, fmt.Sprintf("Remove %d documents?", n)) {
			return exitf(ExitFailure, "not confirmed, nothing was sent")
		}
		return p.apply(ctx, cmd, c, plan, timeout)
	}, connectionFlags(changeFlag(), yesFlag(), filesDecideFlag(), wait)...)
}

func (p *Program) apply(ctx context.Context, cmd *cli.Command, c *client, plan *plan, timeout time.Duration) error {
	changeID := p.changeID(cmd)
	w := cmd.Root().Writer
	fmt.Fprintf(w, "change %s\n", changeID)
	request := operatorapi.ApplyRequest{
		Change:    domain.ChangeID(changeID),
		Base:      plan.current.Revision(),
		Documents: []operatorapi.Document{},
	}
	for _, doc := range plan.changes {
		request.Documents = append(request.Documents, operatorapi.Document{Kind: doc.GetKind(), Name: doc.GetName(), Body: doc.GetBody()})
	}
	reply, err := c.apply(ctx, request)
	if err != nil {
		return requestError(err, changeID)
	}
	if err := applyError(reply, changeID); err != nil {
		return err
	}
	fmt.Fprintln(w, applySummary(reply))
	return p.awaitRevision(ctx, w, c, reply.Revision, timeout)
}

// requestError returns the error of a failed change request: a rejection with a
// status below 500 as it is, otherwise an ExitUnknown error, because the entry may
// have made the change.
func requestError(err error, change string) error {
	var rejected *rejection
	if errors.As(err, &rejected) && rejected.status < http.StatusInternalServerError {
		return err
	}
	return exitf(ExitUnknown, "%v\nThe change may have been made. Run the same command with --change-id %s.", err, change)
}

// applyError returns the error for a reply, or nil if the change is in the store.
func applyError(reply operatorapi.ApplyReply, change string) error {
	switch reply.Status {
	case revision.ApplyAccepted.String(), revision.ApplyUnchanged.String():
		return nil
	case revision.ApplyConflict.String():
		winner := reply.Winner
		if winner == nil {
			winner = &revision.ChangeRecord{}
		}
		return exitf(ExitConflict, "conflict: %s made change %s, revision %d, first. Nothing was changed. Run diff, then apply again.",
			winner.Operator, winner.Change, winner.Revision)
	case revision.ApplyInvalid.String():
		return exitf(ExitInvalid, "%s\nThe entry found the set wrong. Nothing was changed.", reply.Message)
	case revision.ApplyUnavailable.String():
		return exitf(ExitFailure, "The store can't be reached. Nothing was changed.")
	}
	return exitf(ExitUnknown, "The store did not confirm the change. It may have been made. Run the same command with --change-id %s.", change)
}

// applySummary describes a successful reply.
func applySummary(reply operatorapi.ApplyReply) string {
	switch {
	case reply.Status == revision.ApplyUnchanged.String():
		return fmt.Sprintf("unchanged: revision %d holds all of it", reply.Revision)
	case reply.Repeated:
		return fmt.Sprintf("accepted before as revision %d, nothing was changed now", reply.Revision)
	}
	return fmt.Sprintf("accepted as revision %d", reply.Revision)
}

// awaitRevision waits until a revision is in force in every process that the entry
// lists in its status. After the timeout it returns an ExitBehind error that names
// the processes still behind.
func (p *Program) awaitRevision(ctx context.Context, w io.Writer, c *client, target domain.Revision, timeout time.Duration) error {
	var behind []string
	for waited := time.Duration(0); ; waited += statusPollInterval {
		status, err := c.status(ctx)
		if err != nil {
			return exitf(ExitBehind, "%v\nRevision %d is in the store; which processes have it is unknown.", err, target)
		}
		behind = processesBehind(status.Revisions, target)
		if len(behind) == 0 {
			fmt.Fprintf(w, "in force at all %d processes\n", 1+len(status.Revisions.Peers)+len(status.Revisions.Agents))
			return nil
		}
		if waited >= timeout {
			break
		}
		p.Sleep(statusPollInterval)
	}
	return exitf(ExitBehind, "revision %d is in the store; behind:\n  %s", target, strings.Join(behind, "\n  "))
}

// processesBehind lists the processes whose last known revision is older than target.
func processesBehind(status revision.Status, target domain.Revision) []string {
	var names []string
	add := func(kind string, process revision.ProcessStatus) {
		if process.Revision >= target {
			return
		}
		note := ""
		if !process.Connected {
			note = ", not connected"
		}
		names = append(names, fmt.Sprintf("%s %s at revision %d%s", kind, process.Name, process.Revision, note))
	}
	add("entry", revision.ProcessStatus{Name: string(status.Self), Connected: true, Revision: status.Revision})
	for _, peer := range status.Peers {
		add("entry", peer)
	}
	for _, agent := range status.Agents {
		add("agent", agent)
	}
	return names
}

// confirm asks the operator a yes-or-no question and returns true for yes. With
// --yes it does not ask. No answer means no.
func confirm(cmd *cli.Command, question string) bool {
	if cmd.Bool("yes") {
		return true
	}
	fmt.Fprintf(cmd.Root().Writer, "%s [y/N] ", question)
	answer, err := bufio.NewReader(cmd.Root().Reader).ReadString('\n')
	if err != nil && answer == "" {
		fmt.Fprintln(cmd.Root().Writer)
		return false
	}
	answer = strings.ToLower(strings.TrimSpace(answer))
	return answer == "y" || answer == "yes"
}
