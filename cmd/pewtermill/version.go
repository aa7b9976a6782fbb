package main

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/pewtermill/pewtermill/internal/command"
)

// versionCommand prints the build's version.
type versionCommand struct {
	command.Output
}

// versionReport is what the verb prints.
type versionReport struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// Run implements the verb.
func (v *versionCommand) Run(streams command.Streams) error {
	report := buildVersion()
	return v.Print(streams.Out, report, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "pewtermill %s, revision %s, %s\n", report.Version, report.Revision, report.Go)
		return err
	})
}

// buildVersion reads what the Go tool recorded in the binary.
func buildVersion() versionReport {
	report := versionReport{Version: "unknown", Revision: "unknown", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return report
	}
	report.Version = info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			report.Revision = setting.Value
		}
	}
	return report
}
