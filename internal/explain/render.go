package explain

import (
	"fmt"
	"io"
	"strings"
	"time"
	"unicode/utf8"
)

// WriteTimeline writes one line per decision: time since the first, kind, call
// number, target, chosen back end, reason. It stops at the first write error.
func WriteTimeline(w io.Writer, decisions []Decision) {
	for i := range decisions {
		decision := &decisions[i]
		offset := decision.At.Sub(decisions[0].At)
		line := fmt.Sprintf("%+9.3fs  %-9s  %-5s  %-16s  %-14s  %s",
			offset.Seconds(), decision.Kind, callNumber(decision), orDash(decision.Target),
			orDash(decision.Chosen), decision.Reason)
		if _, err := fmt.Fprintln(w, strings.TrimRight(line, " ")); err != nil {
			return
		}
	}
}

// callNumber returns "#n", or a dash for a decision about a whole program.
func callNumber(decision *Decision) string {
	if decision.Sequence == 0 {
		return "-"
	}
	return fmt.Sprintf("#%d", decision.Sequence)
}

// orDash returns the text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// WriteDecision writes a full explanation of one decision: what was requested,
// every candidate with the rule that excluded it or its scores, and the reason
// of the choice. Write errors are ignored.
func WriteDecision(w io.Writer, d Decision) {
	var text strings.Builder
	writeHeading(&text, &d)
	writeCandidates(&text, &d)
	if d.Chosen != "" {
		fmt.Fprintf(&text, "Chosen:    %s\n", d.Chosen)
	}
	fmt.Fprintf(&text, "Reason:    %s\n", orDash(d.Reason))
	_, _ = io.WriteString(w, text.String())
}

// writeHeading writes the subject of the decision.
func writeHeading(text *strings.Builder, d *Decision) {
	fmt.Fprintf(text, "Decision %d on node %s at %s: %s\n",
		d.ID, orDash(d.Node), d.At.UTC().Format(time.RFC3339Nano), d.Kind)
	if d.Program != "" {
		fmt.Fprintf(text, "Program:   %s", d.Program)
		if d.Sequence != 0 {
			fmt.Fprintf(text, ", call %d", d.Sequence)
		}
		if d.Epoch != 0 {
			fmt.Fprintf(text, ", epoch %d", d.Epoch)
		}
		text.WriteByte('\n')
	}
	writeField(text, "Tenant", d.Tenant)
	writeField(text, "Asked for", d.Target)
	if d.Waited > 0 {
		writeField(text, "Waited", d.Waited.Round(time.Millisecond).String()+" in the queue")
	}
	if d.Code != 0 {
		fmt.Fprintf(text, "Code:      %d\n", d.Code)
	}
	if d.BundleVersion != 0 {
		fmt.Fprintf(text, "Bundle:    version %d\n", d.BundleVersion)
	}
}

// writeField writes a labelled value unless it is empty.
func writeField(text *strings.Builder, label, value string) {
	if value != "" {
		fmt.Fprintf(text, "%-10s %s\n", label+":", value)
	}
}

// writeCandidates writes the table of candidates.
func writeCandidates(text *strings.Builder, d *Decision) {
	if len(d.Candidates) == 0 {
		return
	}
	text.WriteString("Candidates (weighted delay in milliseconds, lower is better):\n")
	width := minNameWidth
	for i := range d.Candidates {
		width = max(width, utf8.RuneCountInString(d.Candidates[i].Name))
	}
	for i := range d.Candidates {
		writeCandidate(text, &d.Candidates[i], width, d.Chosen)
	}
	if d.Omitted > 0 {
		fmt.Fprintf(text, "    and %d more, none better than those above\n", d.Omitted)
	}
}

// minNameWidth is the minimum width of the column of candidates' names.
const minNameWidth = 14

// writeCandidate writes one candidate, its name padded to width; an arrow marks
// the chosen one.
func writeCandidate(text *strings.Builder, candidate *Candidate, width int, chosen string) {
	mark := "  "
	if candidate.Name == chosen {
		mark = "->"
	}
	fmt.Fprintf(text, " %s %-*s ", mark, width, candidate.Name)
	if candidate.FilteredBy != "" {
		fmt.Fprintf(text, "excluded by %s", candidate.FilteredBy)
		if len(candidate.Scores) > 0 {
			fmt.Fprintf(text, "; would cost %.1f = %s", candidate.Total, scoreSum(candidate.Scores))
		}
	} else {
		fmt.Fprintf(text, "%.1f", candidate.Total)
		if len(candidate.Scores) > 0 {
			fmt.Fprintf(text, " = %s", scoreSum(candidate.Scores))
		}
	}
	text.WriteByte('\n')
}

// scoreSum renders scores as "wait 10.0 + prefill 3.0".
func scoreSum(scores []Score) string {
	parts := make([]string, len(scores))
	for i, score := range scores {
		parts[i] = fmt.Sprintf("%s %.1f", score.Rule, score.Value)
	}
	return strings.Join(parts, " + ")
}
