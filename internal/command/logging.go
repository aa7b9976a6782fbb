package command

import (
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
)

// NewLogger returns a logger that writes JSON lines to w, at the given level
// (debug, info, warn, error) and above.
func NewLogger(w io.Writer, level string) (*slog.Logger, error) {
	var threshold slog.Level
	if err := threshold.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.Mark(errors.Newf("log level %q is not one of debug, info, warn, error", level), ErrUsage)
	}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: threshold})), nil
}
