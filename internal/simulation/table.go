package simulation

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/command"
)

// Write prints the report as tables: first the metrics of all programs together, then those of each
// class. Every metric is the mean over the seeds, with the minimum and the maximum in parentheses.
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
	if err := r.writeComparisons(w); err != nil {
		return errors.Wrap(err, "print report")
	}
	_, err = fmt.Fprintln(w)
	return errors.Wrap(err, "print report")
}

func (r *Report) writeOverall(w io.Writer) error {
	table := command.NewTable(w, "LOAD", "POLICY", "P50 S", "P95 S", "P99 S", "ADDED P95 S", "WASTED %", "CACHED %",
		"WORTH IN TIME %", "WORTH DONE %", "FAIRNESS", "REFUSED CALLS")
	cell := &r.Cells[0]
	table.Row("alone", "any",
		cell.Spread(func(x *Result) float64 { return x.Unloaded.P50 }).format("%.1f"),
		cell.Spread(func(x *Result) float64 { return x.Unloaded.P95 }).format("%.1f"),
		cell.Spread(func(x *Result) float64 { return x.Unloaded.P99 }).format("%.1f"),
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
		for index, classResult := range cell.Results[0].Classes {
			metric := func(value func(*ClassResult) float64) Spread {
				return cell.Spread(func(x *Result) float64 { return value(&x.Classes[index]) })
			}
			table.Row(
				fmt.Sprintf("%.2f", cell.Load),
				classResult.Class,
				cell.Policy,
				metric(func(x *ClassResult) float64 { return x.Latency.P50 }).format("%.1f"),
				metric(func(x *ClassResult) float64 { return x.Latency.P95 }).format("%.1f"),
				metric(func(x *ClassResult) float64 { return x.Latency.P99 }).format("%.1f"),
				metric(func(x *ClassResult) float64 { return x.Added.P95 }).format("%.1f"),
				metric(func(x *ClassResult) float64 { return float64(x.Completed) }).format("%.0f"),
				metric(func(x *ClassResult) float64 { return float64(x.InTime) }).format("%.0f"),
				metric(func(x *ClassResult) float64 { return float64(x.Refused) }).format("%.0f"),
			)
		}
	}
	return table.Flush()
}

// writeUnloaded adds the latency of each class without other load.
func (r *Report) writeUnloaded(table *command.Table) {
	cell := &r.Cells[0]
	for index, classResult := range cell.Results[0].Classes {
		metric := func(value func(*Latency) float64) string {
			return cell.Spread(func(x *Result) float64 { return value(&x.Classes[index].Unloaded) }).format("%.1f")
		}
		table.Row("alone", classResult.Class, "any",
			metric(func(x *Latency) float64 { return x.P50 }),
			metric(func(x *Latency) float64 { return x.P95 }),
			metric(func(x *Latency) float64 { return x.P99 }),
			"", "", "", "")
	}
}

// refusals returns the rejected calls over all seeds, summed up by code.
func (c *ReportCell) refusals() string {
	var sums []RefusalCount
	for _, result := range c.Results {
		for _, refusal := range result.Refusals {
			sums = addRefusals(sums, refusal)
		}
	}
	if len(sums) == 0 {
		return "0"
	}
	var texts []string
	for _, refusal := range sums {
		texts = append(texts, fmt.Sprintf("%d %s", refusal.Count, refusal.Name))
	}
	return strings.Join(texts, ", ")
}

// addRefusals adds a count to the sum with the same code, or appends it.
func addRefusals(sums []RefusalCount, added RefusalCount) []RefusalCount {
	for i := range sums {
		if sums[i].Code == added.Code {
			sums[i].Count += added.Count
			return sums
		}
	}
	return append(sums, added)
}

// format returns the mean with the minimum and the maximum, or the mean alone if they are equal to it.
func (s Spread) format(verb string) string {
	mean := fmt.Sprintf(verb, s.Mean)
	minimum, maximum := fmt.Sprintf(verb, s.Min), fmt.Sprintf(verb, s.Max)
	if minimum == mean && maximum == mean {
		return mean
	}
	return fmt.Sprintf("%s (%s..%s)", mean, minimum, maximum)
}
