package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/operatorapi"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
	"github.com/dunlinpulley/dunlinpulley/internal/settings"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printRows writes an aligned table whose first row is the heading.
func printRows(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush() // a failed write to the terminal can't be reported there
}

func (p *Program) showCommand() *cli.Command {
	class := settings.NewFlag("class", "", "`NAME` of the request class (default: the account's default class)")
	return p.command("show", "ACCOUNT", "show the settings of a client account and class, and where each comes from", func(ctx context.Context, cmd *cli.Command) error {
		r := settings.NewArgsReader(cmd, "ACCOUNT")
		c := p.newClient(r, cmd)
		output := r.OneOf("output", outputTable, outputJSON)
		if err := r.Err(); err != nil {
			return err
		}
		reply, err := c.show(ctx, cmd.Args().First(), cmd.String("class"))
		if err != nil {
			return err
		}
		w := cmd.Root().Writer
		if output == outputJSON {
			return printJSON(w, reply)
		}
		fmt.Fprintf(w, "account %s at revision %d\n", reply.Account, reply.Revision)
		rows := [][]string{{"SETTING", "VALUE", "FROM"}}
		for _, s := range reply.Settings {
			rows = append(rows, []string{s.Field, s.Value, s.Source})
		}
		printRows(w, rows)
		return nil
	}, connectionFlags(class, outputFlag())...)
}

func (p *Program) statusCommand() *cli.Command {
	return p.command("status", "", "show endpoints, queues and the revision in force at each process", func(ctx context.Context, cmd *cli.Command) error {
		r := settings.NewReader(cmd)
		c := p.newClient(r, cmd)
		output := r.OneOf("output", outputTable, outputJSON)
		if err := r.Err(); err != nil {
			return err
		}
		status, err := c.status(ctx)
		if err != nil {
			return err
		}
		if output == outputJSON {
			return printJSON(cmd.Root().Writer, status)
		}
		printStatus(cmd.Root().Writer, status)
		return nil
	}, connectionFlags(outputFlag())...)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func printStatus(w io.Writer, status operatorapi.Status) {
	revisions := status.Revisions
	fmt.Fprintf(w, "entry %s: revision %d, newest seen %d, ready %s, store up %s, orders not recorded %d\n\n",
		revisions.Self, revisions.Revision, revisions.Newest, yesNo(revisions.Ready), yesNo(revisions.StoreUp), revisions.Unrecorded)
	rows := [][]string{{"PROCESS", "KIND", "CONNECTED", "REVISION"}}
	add := func(kind string, process revision.ProcessStatus) {
		revisionText := fmt.Sprint(process.Revision)
		if process.Revision < revisions.Newest {
			revisionText += " behind"
		}
		rows = append(rows, []string{process.Name, kind, yesNo(process.Connected), revisionText})
	}
	add("entry", revision.ProcessStatus{Name: string(revisions.Self), Connected: true, Revision: revisions.Revision})
	for _, peer := range revisions.Peers {
		add("entry", peer)
	}
	for _, agent := range revisions.Agents {
		add("agent", agent)
	}
	printRows(w, rows)
	fmt.Fprintln(w)
	printEndpoints(w, status.Endpoints)
	fmt.Fprintln(w)
	rows = [][]string{{"TIER", "WAITING HERE", "RUNNING"}}
	for _, queue := range status.CallsByTier {
		rows = append(rows, []string{fmt.Sprint(queue.Tier), strconv.Itoa(queue.Waiting), strconv.Itoa(queue.Running)})
	}
	printRows(w, rows)
}

func printEndpoints(w io.Writer, endpoints []operatorapi.EndpointStatus) {
	rows := [][]string{{"ENDPOINT", "SERVICE", "DATA CENTRE", "DESIRED", "CONNECTED", "DRAINING", "SLOTS", "FREE", "QUEUED"}}
	for _, e := range endpoints {
		rows = append(rows, []string{
			string(e.Endpoint), string(e.Service), string(e.DataCentre), e.Desired, yesNo(e.Connected), yesNo(e.Draining),
			fmt.Sprint(e.Slots), fmt.Sprint(e.FreeSlots), fmt.Sprint(e.Queued),
		})
	}
	printRows(w, rows)
}

// auditFilter selects records of the audit trail. Zero fields select all.
type auditFilter struct {
	operator string
	document string
	since    time.Time
}

func (f auditFilter) matches(record revision.AuditRecord) bool {
	if f.operator != "" && f.operator != record.Operator || record.RequestedAt.Before(f.since) {
		return false
	}
	hasKey := func(doc revision.AuditDocument) bool { return string(doc.Key) == f.document }
	return f.document == "" || slices.ContainsFunc(record.Documents, hasKey)
}

func (p *Program) auditCommand() *cli.Command {
	return p.command("audit", "", "show the audit trail, oldest first", func(ctx context.Context, cmd *cli.Command) error {
		r := settings.NewReader(cmd)
		c := p.newClient(r, cmd)
		output := r.OneOf("output", outputTable, outputJSON)
		after := r.Uint64("after")
		filter := auditFilter{operator: cmd.String("who"), document: cmd.String("document")}
		if since := cmd.String("since"); since != "" {
			start, err := time.Parse(time.RFC3339, since)
			if err != nil {
				r.InvalidSetting("since", since, "a time such as 2026-03-01T08:00:00Z")
			}
			filter.since = start
		}
		if err := r.Err(); err != nil {
			return err
		}
		records, err := readAudit(ctx, c, domain.Revision(after), filter)
		if err != nil {
			return err
		}
		if output == outputJSON {
			return printJSON(cmd.Root().Writer, records)
		}
		printAudit(cmd.Root().Writer, records)
		return nil
	}, connectionFlags(
		outputFlag(),
		settings.NewFlag("after", "0", "only `REVISION`s after this one"),
		settings.NewFlag("since", "", "only changes made at `TIME` or later, such as 2026-03-01T08:00:00Z"),
		settings.NewFlag("who", "", "only changes of the operator `NAME`"),
		settings.NewFlag("document", "", "only changes of the document `KIND/NAME`"),
	)...)
}

// readAudit reads all pages of the audit trail after a revision and returns the
// records that the filter selects.
func readAudit(ctx context.Context, c *client, after domain.Revision, filter auditFilter) ([]revision.AuditRecord, error) {
	records := []revision.AuditRecord{}
	for {
		page, err := c.audit(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, record := range page.Records {
			after = record.Revision
			if filter.matches(record) {
				records = append(records, record)
			}
		}
		if !page.More {
			return records, nil
		}
	}
}

func printAudit(w io.Writer, records []revision.AuditRecord) {
	rows := [][]string{{"REVISION", "WHEN", "WHO", "CHANGE", "OPERATION", "DOCUMENTS"}}
	for _, record := range records {
		rows = append(rows, []string{
			fmt.Sprint(record.Revision), record.RequestedAt.Format(time.RFC3339), record.Operator, string(record.Change), record.Operation, documentSummary(record.Documents),
		})
	}
	printRows(w, rows)
}

// documentSummary describes the documents of a change on one line.
func documentSummary(docs []revision.AuditDocument) string {
	const maxListed = 2
	if len(docs) > maxListed {
		return fmt.Sprintf("%d documents", len(docs))
	}
	var parts []string
	for _, doc := range docs {
		text := doc.Action + " " + string(doc.Key)
		for _, field := range doc.Fields {
			text += " (" + field.String() + ")"
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, ", ")
}
