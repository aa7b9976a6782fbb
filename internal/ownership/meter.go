package ownership

import (
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/program"
)

// Meter receives the measurements for operators. Safe for concurrent use.
type Meter interface {
	// ProgramEnded reports the duration of a program without a parent.
	ProgramEnded(class string, lasted time.Duration)
	// PromptBilled reports the prompt tokens of a model call, how many of them
	// were cached, and how many had been computed for the program before and
	// were computed again.
	PromptBilled(class string, prompt, cached, wasted int64)
}

// meterCall counts a recorded model call. The header is the one before the
// call: its history was in the cache of some engine when the previous call ended.
func (p *Programs) meterCall(header program.Header, usage api.Usage) {
	wasted := max(0, min(header.HistoryTokens, usage.PromptTokens)-usage.CachedTokens)
	p.Meter.PromptBilled(header.Class, usage.PromptTokens, usage.CachedTokens, wasted)
}

// meterEnd counts an ended program without a parent; the time of a sub-agent is
// part of its parent's.
func (p *Programs) meterEnd(header program.Header) {
	if header.Parent == "" {
		p.Meter.ProgramEnded(header.Class, header.EndedAt.Sub(header.CreatedAt))
	}
}
