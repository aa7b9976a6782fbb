package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Time limits of a stand-in.
const (
	announceTimeout = 30 * time.Second
	stopTimeout     = 30 * time.Second
)

// listenFlags are the flags of every stand-in.
type listenFlags struct {
	Listen   string `help:"IP:port to listen on; port 0 takes a free one." default:"127.0.0.1:0" placeholder:"IP:PORT"`
	LogLevel string `help:"Least level that is logged: debug, info, warn or error." default:"info"`
}

// machineFlags are the flags of stand-ins that appear in the machine list.
type machineFlags struct {
	Name     string `help:"Name, as in the bundle." required:""`
	Zone     string `help:"Zone, as in the bundle." required:""`
	Platform string `help:"Base URL of the platform whose machine list announces this machine; none if left out." placeholder:"URL"`
}

// standIn is one stand-in as serve runs it.
type standIn struct {
	role    string // platform, engine, tool
	handler http.Handler
	machine machineFlags // not announced if Platform is empty
}

// serve runs a stand-in until a signal. A planned stop first marks the machine
// as leaving, and removes it from the list once its requests have ended.
func (l listenFlags) serve(streams command.Streams, served standIn) error {
	if _, _, err := net.SplitHostPort(l.Listen); err != nil {
		return errors.Mark(errors.Wrap(err, "--listen"), command.ErrUsage)
	}
	logger, err := command.NewLogger(streams.Err, l.LogLevel)
	if err != nil {
		return err
	}
	signals, stopSignals := command.Signals()
	defer stopSignals()
	server, err := command.Serve(l.Listen, served.handler)
	if err != nil {
		return err
	}
	logger.Info("stand-in started", "role", served.role, "name", served.machine.Name, "url", server.URL())
	if err := served.join(server.URL()); err != nil {
		return errors.CombineErrors(err, server.Close())
	}
	return command.StopOnSignal(signals, server.Failed(), stopTimeout, func(ctx context.Context) error {
		return served.leave(ctx, logger, server)
	})
}

// join announces the machine if a platform is set.
func (s standIn) join(address string) error {
	if s.machine.Platform == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	return command.AnnounceWithRetry(ctx, s.machine.Platform, s.entry(address, false))
}

// entry returns the machine's entry in the list.
func (s standIn) entry(address string, leaving bool) tablestore.Machine {
	return tablestore.Machine{
		Name:    s.machine.Name,
		Role:    s.role,
		Zone:    s.machine.Zone,
		Address: address,
		Leaving: leaving,
	}
}

// leave performs a planned stop.
func (s standIn) leave(ctx context.Context, logger *slog.Logger, server *command.Server) error {
	logger.Info("stand-in stopping", "role", s.role, "name", s.machine.Name)
	if s.machine.Platform == "" {
		return server.Shutdown(ctx)
	}
	// The platform may have stopped before this machine; the list is then
	// unavailable, and the stop continues.
	if err := command.Announce(ctx, s.machine.Platform, s.entry(server.URL(), true)); err != nil {
		logger.Warn("leaving machine not announced in the machine list", "error", err.Error())
	}
	if err := server.Shutdown(ctx); err != nil {
		return err
	}
	if err := command.Withdraw(ctx, s.machine.Platform, s.machine.Name); err != nil {
		logger.Warn("machine not removed from the machine list", "error", err.Error())
	}
	return nil
}
