package main

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// versionCommand prints the build's version and the requests of other nodes that it accepts.
type versionCommand struct {
	command.Output
}

// versionReport is the output of the verb.
type versionReport struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
	// Requests are the names of the requests of other nodes that this build does not decline.
	Requests []string `json:"requests"`
}

// Run implements the verb.
func (v *versionCommand) Run(streams command.Streams) error {
	report := buildVersion()
	return v.Print(streams.Out, report, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "pewtermill %s, revision %s, %s\nRequests of other nodes that it knows: %s\n",
			report.Version, report.Revision, report.Go, strings.Join(report.Requests, ", "))
		return err
	})
}

// buildVersion returns the version that the Go tool recorded in the binary.
func buildVersion() versionReport {
	report := versionReport{Version: "unknown", Revision: "unknown", Go: runtime.Version(), Requests: wirepb.RequestNames()}
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
