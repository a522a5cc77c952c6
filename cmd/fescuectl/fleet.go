package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"fescuebank"
	"fescuebank/internal/operate/administrator"
	"fescuebank/internal/operate/evaluator"
)

// instancesCommand lists the instances.
type instancesCommand struct{}

func (*instancesCommand) run(ctx context.Context, c *client) error {
	var status administrator.StatusResponse
	if err := c.operator(ctx, http.MethodGet, "/api/status", nil, &status); err != nil {
		return err
	}
	return c.print(status, func(w io.Writer) {
		fmt.Fprintln(w, "INSTANCE\tZONE\tSTATE\tGENERATION\tASSIGNMENT\tSHARDS\tIN FLIGHT\tQUEUED\tANSWERED\tFAILED\tRATE LIMITED\tREFUSED IN RATE")
		for _, i := range status.Instances {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", i.Instance.ID, i.Instance.Zone, stateOf(i), i.Generation,
				i.Assignment, i.OwnedShards, i.InFlight, i.Queued, i.Totals.Completed, i.Totals.Failed, i.Totals.RateLimited, i.Totals.RefusedInRate)
		}
		for _, id := range status.Missing {
			fmt.Fprintf(w, "%s\t\tdoes not answer\n", id)
		}
	})
}

func stateOf(i fescuebank.InstanceStatus) string {
	switch {
	case i.Leaving:
		return "leaving"
	case !i.LeaseFresh:
		return "no lease"
	}
	return "serving"
}

// endpointsCommand lists the endpoints.
type endpointsCommand struct{}

// endpointRow sums the use of one endpoint over all instances.
type endpointRow struct {
	fescuebank.EndpointStatus
	Owner fescuebank.InstanceID `json:"owner"`
}

func (*endpointsCommand) run(ctx context.Context, c *client) error {
	var status administrator.StatusResponse
	if err := c.operator(ctx, http.MethodGet, "/api/status", nil, &status); err != nil {
		return err
	}
	rows := sumEndpoints(status.Instances)
	return c.print(rows, func(w io.Writer) {
		fmt.Fprintln(w, "ENDPOINT\tZONE\tOWNER\tOPEN AT\tONLINE\tBATCH\tSLOTS\tRUNNING\tWAITING\tMODELS")
		for _, r := range rows {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d of %d\t%d\t%d\t%d\t%d\t%d\t%v\n", r.ID, r.Zone, cmp.Or(string(r.Owner), "none"), r.Limit, len(status.Instances),
				r.Online, r.Batch, r.Slots, r.Running, r.Waiting, r.Models)
		}
	})
}

// sumEndpoints sums the use of each endpoint over the instances. Limit then holds
// the number of instances at which the endpoint is open.
func sumEndpoints(instances []fescuebank.InstanceStatus) []endpointRow {
	byID := make(map[fescuebank.EndpointID]*endpointRow)
	for _, i := range instances {
		for _, e := range i.Endpoints {
			row, ok := byID[e.ID]
			if !ok {
				row = &endpointRow{EndpointStatus: e}
				row.Online, row.Batch, row.Limit = 0, 0, 0
				byID[e.ID] = row
			}
			row.Online += e.Online
			row.Batch += e.Batch
			if e.Open {
				row.Limit++
			}
			if e.Owned {
				row.Owner = i.Instance.ID
			}
		}
	}
	rows := make([]endpointRow, 0, len(byID))
	for _, row := range byID {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b endpointRow) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return rows
}

// fetch reads the report from the metrics address if one is given, or else from
// the operators' API.
func (b *burnCommand) fetch(ctx context.Context, c *client, report *evaluator.Report) error {
	if b.Metrics == "" {
		return c.operator(ctx, http.MethodGet, "/api/burn", nil, report)
	}
	return c.metrics(ctx, b.Metrics, "/burn", report)
}

// reportCommand prints reports.
type reportCommand struct {
	Burn *burnCommand `arg:"subcommand:burn" help:"how fast the error budgets of the service levels burn, worst first"`
}

// burnCommand prints the burn rates of the error budgets.
type burnCommand struct {
	Metrics string `arg:"--metrics" placeholder:"HOST:PORT" help:"metrics address of any instance; without it the operators' address is asked"`
}

func (r *reportCommand) run(ctx context.Context, c *client) error {
	if r.Burn == nil {
		return fmt.Errorf("missing subcommand: burn")
	}
	var report evaluator.Report
	if err := r.Burn.fetch(ctx, c, &report); err != nil {
		return err
	}
	return c.print(report, func(w io.Writer) {
		fmt.Fprintln(w, "TEAM\tOBJECTIVE\tTARGET\tBUDGET LEFT\tBURN 5M\tBURN 1H\tBURN 6H\tBURN 3D\tEVENTS\tALARM")
		for _, l := range report.Lines {
			last := l.Windows[len(l.Windows)-1]
			fmt.Fprintf(w, "%s\t%s\t%.2f%%\t%.1f%%", l.Team, l.Objective, 100*l.Target, 100*l.BudgetLeft)
			for _, window := range l.Windows {
				fmt.Fprintf(w, "\t%.2f", window.Burn)
			}
			fmt.Fprintf(w, "\t%d\t%s\n", last.Total, l.Alarm)
		}
		fmt.Fprintf(w, "Counts of %d instances since their start; those of lost instances are gone. Windows up to %s.\n", report.Instances, 72*time.Hour)
		for _, id := range report.Missing {
			fmt.Fprintf(w, "Instance %s did not answer.\n", id)
		}
	})
}
