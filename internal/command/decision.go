package command

import (
	"fmt"
	"io"
	"time"

	"github.com/pewtermill/pewtermill/internal/explain"
)

// PrintDecision writes a decision as one line: time, node, kind, program and
// call, chosen engine, and reason. Write errors are ignored.
func PrintDecision(w io.Writer, decision explain.Decision) {
	subject := OrDash(decision.Program)
	if decision.Sequence > 0 {
		subject = fmt.Sprintf("%s/%d", decision.Program, decision.Sequence)
	}
	_, _ = fmt.Fprintf(w, "%s  %-8s  %-9s  %-24s  %-14s  %s\n",
		decision.At.UTC().Format(time.TimeOnly+".000"), decision.Node, decision.Kind,
		subject, OrDash(decision.Chosen), decision.Reason)
}

// OrDash returns the text, or a dash if it is empty.
func OrDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
