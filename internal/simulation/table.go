package simulation

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/command"
)

// Write prints the report as tables for people: first what all programs
// together saw, then each class. Every figure is the mean over seeds, with
// the least and the greatest in brackets.
func (r *Report) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s: %d engines, %d nodes, %d programs a run, %d seeds, saturation %s programs/s\n\n",
		r.Deployment, r.Engines, r.Nodes, r.Programs, r.Seeds, r.Saturation.format("%.2f"))
	if err != nil {
		return errors.Wrap(err, "print report")
	}
	if err := r.writeOverall(w); err != nil {
		return err
	}
	if err := r.writeClasses(w); err != nil {
		return err
	}
	if err := r.writeAims(w); err != nil {
		return errors.Wrap(err, "print report")
	}
	_, err = fmt.Fprintln(w)
	return errors.Wrap(err, "print report")
}

func (r *Report) writeOverall(w io.Writer) error {
	table := command.NewTable(w, "LOAD", "POLICY", "P50 S", "P95 S", "P99 S", "ADDED P95 S", "WASTED %", "CACHED %",
		"WORTH IN TIME %", "WORTH DONE %", "FAIRNESS", "REFUSED CALLS")
	alone := &r.Cells[0]
	table.Row("alone", "any",
		alone.Spread(func(x *Result) float64 { return x.Unloaded.P50 }).format("%.1f"),
		alone.Spread(func(x *Result) float64 { return x.Unloaded.P95 }).format("%.1f"),
		alone.Spread(func(x *Result) float64 { return x.Unloaded.P99 }).format("%.1f"),
		"", "", "", "", "", "", "")
	for i := range r.Cells {
		cell := &r.Cells[i]
		table.Row(
			fmt.Sprintf("%.2f", cell.Load),
			cell.Policy,
			cell.Spread(func(x *Result) float64 { return x.Overall.P50 }).format("%.1f"),
			cell.Spread(func(x *Result) float64 { return x.Overall.P95 }).format("%.1f"),
			cell.Spread(func(x *Result) float64 { return x.Overall.P99 }).format("%.1f"),
			cell.Spread(func(x *Result) float64 { return x.Added.P95 }).format("%.1f"),
			cell.Spread(func(x *Result) float64 { return 100 * x.WastedCacheShare }).format("%.1f"),
			cell.Spread(func(x *Result) float64 { return 100 * x.CachedShare }).format("%.1f"),
			cell.Spread(func(x *Result) float64 { return 100 * x.WorthInTimeShare }).format("%.1f"),
			cell.Spread(func(x *Result) float64 { return 100 * x.WorthCompletedShare }).format("%.1f"),
			cell.Spread(func(x *Result) float64 { return x.Fairness }).format("%.3f"),
			cell.refusals(),
		)
	}
	return table.Flush()
}

func (r *Report) writeClasses(w io.Writer) error {
	if _, err := fmt.Fprintln(w); err != nil {
		return errors.Wrap(err, "print report")
	}
	table := command.NewTable(w, "LOAD", "CLASS", "POLICY", "P50 S", "P95 S", "P99 S", "ADDED P95 S", "COMPLETED", "IN TIME", "REFUSED")
	r.writeUnloaded(table)
	for i := range r.Cells {
		cell := &r.Cells[i]
		for class, first := range cell.Results[0].Classes {
			figure := func(value func(*ClassResult) float64) Spread {
				return cell.Spread(func(x *Result) float64 { return value(&x.Classes[class]) })
			}
			table.Row(
				fmt.Sprintf("%.2f", cell.Load),
				first.Class,
				cell.Policy,
				figure(func(x *ClassResult) float64 { return x.Latency.P50 }).format("%.1f"),
				figure(func(x *ClassResult) float64 { return x.Latency.P95 }).format("%.1f"),
				figure(func(x *ClassResult) float64 { return x.Latency.P99 }).format("%.1f"),
				figure(func(x *ClassResult) float64 { return x.Added.P95 }).format("%.1f"),
				figure(func(x *ClassResult) float64 { return float64(x.Completed) }).format("%.0f"),
				figure(func(x *ClassResult) float64 { return float64(x.InTime) }).format("%.0f"),
				figure(func(x *ClassResult) float64 { return float64(x.Refused) }).format("%.0f"),
			)
		}
	}
	return table.Flush()
}

// writeUnloaded adds what each class takes without any other load.
func (r *Report) writeUnloaded(table *command.Table) {
	cell := &r.Cells[0]
	for class, first := range cell.Results[0].Classes {
		figure := func(value func(*Latency) float64) string {
			return cell.Spread(func(x *Result) float64 { return value(&x.Classes[class].Unloaded) }).format("%.1f")
		}
		table.Row("alone", first.Class, "any",
			figure(func(x *Latency) float64 { return x.P50 }),
			figure(func(x *Latency) float64 { return x.P95 }),
			figure(func(x *Latency) float64 { return x.P99 }),
			"", "", "", "")
	}
}

// refusals sums up the refusals of calls by code, over all seeds.
func (c *ReportCell) refusals() string {
	var order []RefusalCount
	for _, result := range c.Results {
		for _, refusal := range result.Refusals {
			order = addRefusals(order, refusal)
		}
	}
	if len(order) == 0 {
		return "0"
	}
	var texts []string
	for _, refusal := range order {
		texts = append(texts, fmt.Sprintf("%d %s", refusal.Count, refusal.Name))
	}
	return strings.Join(texts, ", ")
}

func addRefusals(sums []RefusalCount, more RefusalCount) []RefusalCount {
	for i := range sums {
		if sums[i].Code == more.Code {
			sums[i].Count += more.Count
			return sums
		}
	}
	return append(sums, more)
}

// format prints the mean with the extremes, or the mean alone if they are it.
func (s Spread) format(verb string) string {
	mean := fmt.Sprintf(verb, s.Mean)
	least, most := fmt.Sprintf(verb, s.Min), fmt.Sprintf(verb, s.Max)
	if least == mean && most == mean {
		return mean
	}
	return fmt.Sprintf("%s (%s..%s)", mean, least, most)
}
