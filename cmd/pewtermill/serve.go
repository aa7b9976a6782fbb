package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/eventlog"
	"github.com/pewtermill/pewtermill/internal/serving"
	"github.com/pewtermill/pewtermill/platform"
)

// serveCommand serves callers on the operators' platform.
type serveCommand struct {
	Settings    string  `help:"Settings file of the platform." env:"PEWTERMILL_CONFIG" type:"existingfile" placeholder:"FILE" required:""`
	MetricsPort int     `help:"Port for the process's own figures, at /metrics; 0 for none." default:"0"`
	RegionLink  float64 `help:"What the link between two regions carries a second each way, for all processes together, in megabits; 0 if no limit is known." default:"0" placeholder:"MBIT"`
	CarryFrom   int     `help:"From how many processes of a region on requests go over connections that peers keep to engines; 0 for never." default:"64" placeholder:"PROCESSES"`
	PeersListen string  `help:"Where to listen for peers, if their connections to the first port of the settings are passed on to here by something else." placeholder:"IP:PORT"`
	LogLevel    string  `help:"Least level that is logged: routine, info, warn or error." enum:"routine,info,warn,error" default:"routine"`
}

// Run implements the verb.
func (s *serveCommand) Run(streams command.Streams) error {
	settings, err := platform.ReadSettings(s.Settings)
	if err != nil {
		return errors.Mark(err, command.ErrUsage)
	}
	writer := eventlog.NewWriter(streams.Out)
	defer writer.Flush()
	logger := eventlog.NewLogger(writer, s.level(), slog.String("node", settings.Serving.Node))
	metrics := serving.NewMetrics()
	build := buildVersion()
	metrics.RegisterBuild(build.Version, build.Revision)
	metrics.RegisterGauge("pewtermill_serve_log_lines_dropped", "Log lines that were dropped.", func() float64 { return float64(writer.Dropped()) })
	store := platform.NewStore(settings.StoreAddress, func(call platform.StoreCall) {
		metrics.ObserveStoreCall(call.Name, call.Duration, call.AnswerBytes, call.Err)
	})
	watch := newSettingsWatch(s.Settings, settings, store, logger)
	if s.MetricsPort != 0 {
		settings.Serving.MetricsAddress = net.JoinHostPort(settings.Serving.IP, strconv.Itoa(s.MetricsPort))
	}
	settings.Serving.RegionLinkMegabits = s.RegionLink
	settings.Serving.CarryMinNodes = s.CarryFrom
	settings.Serving.PeerListenAddress = s.PeersListen
	process := serving.New(settings.Serving, serving.Dependencies{
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
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	signal.Ignore(syscall.SIGPIPE) // a broken log pipe loses log lines and must not end the process
	if err := process.Start(context.Background()); err != nil {
		return err
	}
	watchContext, endWatch := context.WithCancel(context.Background())
	defer endWatch()
	go watch.run(watchContext) // also while the process stops: it still records turns
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		watch.reload()
	}
	ctx, cancel := context.WithCancel(context.Background())
	go cancelOnSecondSignal(signals, cancel)
	process.Stop(ctx)
	return nil
}

// cancelOnSecondSignal cuts a planned stop short when another stop signal arrives.
func cancelOnSecondSignal(signals <-chan os.Signal, cancel context.CancelFunc) {
	for received := range signals {
		if received != syscall.SIGHUP {
			cancel()
			return
		}
	}
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
