package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/cmd/pewtermill/earlysignal"
	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/eventlog"
	"github.com/pewtermill/pewtermill/internal/serving"
	"github.com/pewtermill/pewtermill/platform"
)

// serveCommand serves callers on the operators' platform.
type serveCommand struct {
	Settings    string  `help:"Settings file of the platform." env:"PEWTERMILL_CONFIG" type:"path" placeholder:"FILE" required:""`
	MetricsPort int     `help:"Port for the process's own figures, at /metrics; 0 for none." default:"0"`
	RegionLink  float64 `help:"What the link between two regions carries a second each way, for all processes together, in megabits; 0 if no limit is known." default:"0" placeholder:"MBIT"`
	CarryFrom   int     `help:"From how many processes of a region on requests go over connections that peers keep to engines; 0 for never." default:"64" placeholder:"PROCESSES"`
	PeersListen string  `help:"Where to listen for peers, if their connections to the first port of the settings are passed on to here by something else." placeholder:"IP:PORT"`
	LogLevel    string  `help:"Least level that is logged: routine, info, warn or error." enum:"routine,info,warn,error" default:"routine"`
}

// Run implements the verb.
func (s *serveCommand) Run(streams command.Streams) error {
	signal.Ignore(syscall.SIGPIPE) // a broken log pipe loses log lines and must not end the process
	received := followSignals(earlysignal.Stops(), earlysignal.Reloads())
	writer := eventlog.NewWriter(streams.Out)
	defer writer.Flush()
	for {
		settings, err := awaitSettings(received.stop, s.Settings, eventlog.NewLogger(writer, s.level()))
		if err != nil {
			return nil // ordered to stop before it had settings
		}
		if err := s.serve(received, settings, writer); !errors.Is(err, errSettingsChanged) {
			return err
		}
	}
}

// errSettingsChanged reports that a process did not start since its settings changed while it waited for its addresses.
var errSettingsChanged = errors.New("the settings changed during the start")

// serve serves callers until a signal orders it to stop. It returns errSettingsChanged if it has to start anew.
func (s *serveCommand) serve(received *orders, settings platform.Settings, writer *eventlog.Writer) error {
	logger := eventlog.NewLogger(writer, s.level(), slog.String("node", settings.Serving.Node))
	if settings.Ignored != "" {
		logger.Warn("settings field ignored, as it has another type", "field", settings.Ignored)
	}
	if limit := settings.Serving.Machine().CollectedMemoryBytes(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	metrics := serving.NewMetrics()
	build := buildVersion()
	metrics.RegisterBuild(build.Version, build.Revision)
	metrics.RegisterGauge("pewtermill_serve_log_lines_dropped", "Log lines that were dropped.", func() float64 { return float64(writer.Dropped()) })
	store := platform.NewStore(settings.StoreAddress, func(call platform.StoreCall) {
		metrics.ObserveStoreCall(call.Name, call.Duration, call.AnswerBytes, call.Err)
	})
	process := serving.New(s.servingSettings(settings.Serving), serving.Dependencies{
		Table:     store,
		Feed:      store,
		NewSource: platform.NewDiscoverySource,
		TableOf:   platform.TableOf,
		Protocol:  platform.Protocol{},
		ReadyPath: platform.ReadyPath(),
		RunID:     strconv.FormatUint(rand.Uint64(), 36),
		Logger:    logger,
		Metrics:   metrics,
	})
	watchContext, endWatch := context.WithCancel(context.Background())
	defer endWatch()
	starting, endStart := context.WithCancelCause(received.stop)
	defer endStart(nil)
	watch := newSettingsWatch(s.Settings, settings, store, func() { endStart(errSettingsChanged) }, logger)
	go watch.run(watchContext, received.reload) // also while the process stops: it still records turns
	if err := process.Start(starting); err != nil {
		switch {
		case received.stop.Err() != nil:
			return nil
		case starting.Err() != nil:
			return context.Cause(starting)
		}
		return err
	}
	<-received.stop.Done()
	process.Stop(received.stopNow)
	return nil
}

// servingSettings returns the settings of the platform with what the flags add.
func (s *serveCommand) servingSettings(settings serving.Settings) serving.Settings {
	if s.MetricsPort != 0 {
		settings.MetricsAddress = net.JoinHostPort(settings.IP, strconv.Itoa(s.MetricsPort))
	}
	settings.RegionLinkMegabits = s.RegionLink
	settings.CarryMinNodes = s.CarryFrom
	settings.PeerListenAddress = s.PeersListen
	return settings
}

// level returns the log level that the flag names.
func (s *serveCommand) level() slog.Level {
	switch s.LogLevel {
	case "routine":
		return eventlog.LevelRoutine
	case "warn":
		return slog.LevelWarn
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}
