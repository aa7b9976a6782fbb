package simulation

import (
	"fmt"
	"io"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// Comparison compares program_aware with the baselines under one load. Every metric is the ratio
// of the program_aware value to the baseline value for the same seed, over all seeds.
type Comparison struct {
	Load float64 `json:"load"`
	// LatencyToLeastLoaded compares p95 program latency; the target is at most 0.5.
	LatencyToLeastLoaded Spread `json:"p95_to_least_loaded"`
	// AloneToLeastLoaded divides the p95 unloaded latency of program_aware, without other load, by
	// the p95 latency of least_loaded. Where it is above 0.5, no policy can reach the target.
	AloneToLeastLoaded Spread `json:"p95_alone_to_least_loaded"`
	// AddedToLeastLoaded compares the p95 of the latency that load adds to programs.
	AddedToLeastLoaded Spread `json:"p95_added_to_least_loaded"`
	// WasteToRoundRobin compares the wasted cache share; the target is at most 0.25.
	WasteToRoundRobin Spread            `json:"wasted_cache_to_round_robin"`
	Classes           []ClassComparison `json:"classes"`
}

// ClassComparison is Comparison for one class. ToBestBaseline is the ratio of p95 latency to the
// lowest p95 latency of any baseline; the target is at most 1.
type ClassComparison struct {
	Class                string `json:"class"`
	LatencyToLeastLoaded Spread `json:"p95_to_least_loaded"`
	AloneToLeastLoaded   Spread `json:"p95_alone_to_least_loaded"`
	AddedToLeastLoaded   Spread `json:"p95_added_to_least_loaded"`
	ToBestBaseline       Spread `json:"p95_to_best_baseline"`
}

// compareWithBaselines returns one comparison for each load. It returns none if the report lacks
// program_aware, round_robin or least_loaded.
func (r *Report) compareWithBaselines() []Comparison {
	var comparisons []Comparison
	for i := range r.Cells {
		programAware := &r.Cells[i]
		if programAware.Policy != scheduler.ProgramAware {
			continue
		}
		leastLoaded := r.cell(programAware.Load, scheduler.LeastLoaded)
		roundRobin := r.cell(programAware.Load, scheduler.RoundRobin)
		if leastLoaded == nil || roundRobin == nil {
			return nil
		}
		overallP95 := func(x *Result) float64 { return x.Overall.P95 }
		addedP95 := func(x *Result) float64 { return x.Added.P95 }
		wastedShare := func(x *Result) float64 { return x.WastedCacheShare }
		comparisons = append(comparisons, Comparison{
			Load:                 programAware.Load,
			LatencyToLeastLoaded: ratios(programAware, overallP95, leastLoaded, overallP95),
			AloneToLeastLoaded:   ratios(programAware, func(x *Result) float64 { return x.Unloaded.P95 }, leastLoaded, overallP95),
			AddedToLeastLoaded:   ratios(programAware, addedP95, leastLoaded, addedP95),
			WasteToRoundRobin:    ratios(programAware, wastedShare, roundRobin, wastedShare),
			Classes:              r.compareClasses(programAware, leastLoaded),
		})
	}
	return comparisons
}

// compareClasses returns one comparison for each class under the load of the program_aware cell.
func (r *Report) compareClasses(programAware, leastLoaded *ReportCell) []ClassComparison {
	var comparisons []ClassComparison
	for index, classResult := range programAware.Results[0].Classes {
		latency := func(x *Result) float64 { return x.Classes[index].Latency.P95 }
		unloaded := func(x *Result) float64 { return x.Classes[index].Unloaded.P95 }
		added := func(x *Result) float64 { return x.Classes[index].Added.P95 }
		comparisons = append(comparisons, ClassComparison{
			Class:                classResult.Class,
			LatencyToLeastLoaded: ratios(programAware, latency, leastLoaded, latency),
			AloneToLeastLoaded:   ratios(programAware, unloaded, leastLoaded, latency),
			AddedToLeastLoaded:   ratios(programAware, added, leastLoaded, added),
			ToBestBaseline:       r.ratioToBestBaseline(programAware, latency),
		})
	}
	return comparisons
}

// ratioToBestBaseline divides the metric of program_aware by the lowest value of any baseline, seed
// by seed.
func (r *Report) ratioToBestBaseline(programAware *ReportCell, metric func(*Result) float64) Spread {
	values := make([]float64, len(programAware.Results))
	for seed, result := range programAware.Results {
		for i := range r.Cells {
			baseline := &r.Cells[i]
			if baseline.Load == programAware.Load && baseline.Policy != programAware.Policy {
				values[seed] = max(values[seed], ratio(metric(result), metric(baseline.Results[seed])))
			}
		}
	}
	return SpreadOf(values)
}

// cell returns the cell of a load and a policy, or nil.
func (r *Report) cell(load float64, policy scheduler.PolicyName) *ReportCell {
	for i := range r.Cells {
		if r.Cells[i].Load == load && r.Cells[i].Policy == policy {
			return &r.Cells[i]
		}
	}
	return nil
}

// ratios divides a metric of one cell by a metric of another, seed by seed.
func ratios(a *ReportCell, metricA func(*Result) float64, b *ReportCell, metricB func(*Result) float64) Spread {
	values := make([]float64, len(a.Results))
	for seed := range values {
		values[seed] = ratio(metricA(a.Results[seed]), metricB(b.Results[seed]))
	}
	return SpreadOf(values)
}

// writeComparisons prints the comparison with the baselines, if there is one.
func (r *Report) writeComparisons(w io.Writer) error {
	if len(r.Aims) == 0 {
		return nil
	}
	if _, err := fmt.Fprintln(w, "\nprogram_aware over baselines, seed by seed:"); err != nil {
		return err
	}
	table := command.NewTable(w, "LOAD", "CLASS", "P95 / LEAST LOADED", "(ALONE)", "ADDED P95 / LEAST LOADED",
		"P95 / BEST BASELINE", "WASTED / ROUND ROBIN")
	for _, comparison := range r.Aims {
		load := fmt.Sprintf("%.2f", comparison.Load)
		table.Row(load, "all", comparison.LatencyToLeastLoaded.format("%.2f"), comparison.AloneToLeastLoaded.format("%.2f"),
			comparison.AddedToLeastLoaded.format("%.2f"), "", comparison.WasteToRoundRobin.format("%.2f"))
		for _, class := range comparison.Classes {
			table.Row(load, class.Class, class.LatencyToLeastLoaded.format("%.2f"), class.AloneToLeastLoaded.format("%.2f"),
				class.AddedToLeastLoaded.format("%.2f"), class.ToBestBaseline.format("%.2f"), "")
		}
	}
	return table.Flush()
}
