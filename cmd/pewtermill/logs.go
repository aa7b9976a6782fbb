package main

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/logstory"
)

// logsCommand reads the logs of nodes.
type logsCommand struct {
	Explain logsExplainCommand `cmd:"" help:"Tell the story of one request or program, with the cause in the last line."`
}

// logsExplainCommand prints the timeline of one request or program.
type logsExplainCommand struct {
	ID    string   `arg:"" help:"Id of a request or program."`
	Files []string `arg:"" optional:"" help:"Logs of any number of nodes; standard input if none is named." type:"existingfile"`
}

// Run implements the verb.
func (l *logsExplainCommand) Run(streams command.Streams) error {
	lines, err := l.read()
	if err != nil {
		return err
	}
	return logstory.WriteTimeline(streams.Out, lines, l.ID)
}

// read reads all log files, or standard input if none is named.
func (l *logsExplainCommand) read() ([]logstory.Line, error) {
	if len(l.Files) == 0 {
		return logstory.Read(os.Stdin)
	}
	var all []logstory.Line
	for _, name := range l.Files {
		lines, err := readFile(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readFile(name string) ([]logstory.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer file.Close()
	return logstory.Read(io.Reader(file))
}
