// Package earlysignal receives signals from the moment at which the Go runtime is up. Until a program subscribes to them, their
// default action ends it, and settings may change or an order to stop may arrive while it still starts. The package imports
// next to nothing, so that it is initialized before the packages that take long.
package earlysignal

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// Numbers of signals that are kept until they are read. Further ones ask for nothing more.
const (
	keptReloads = 1
	keptStops   = 2 // the second one cuts a planned stop short
)

// Verbs whose signals are received. Those of all others have their default action.
var (
	reloadingVerbs = []string{"serve"}
	stoppingVerbs  = []string{"serve", "node"}
)

// A series of one kind of signal must not displace the other kind, so each has a channel of its own.
var (
	reloads = subscribe(keptReloads, reloadingVerbs, syscall.SIGHUP)
	stops   = subscribe(keptStops, stoppingVerbs, syscall.SIGTERM, syscall.SIGINT)
)

// subscribe receives signals if the command line has one of some verbs. It returns nil otherwise.
func subscribe(kept int, verbs []string, handled ...os.Signal) chan os.Signal {
	if len(os.Args) < 2 || !slices.Contains(verbs, os.Args[1]) {
		return nil
	}
	signals := make(chan os.Signal, kept)
	signal.Notify(signals, handled...)
	return signals
}

// Reloads returns the channel of the signals to read the settings again, with one from before the call; nil if the program's verb handles
// none. Each signal goes to one reader.
func Reloads() <-chan os.Signal { return reloads }

// Stops returns the channel of the signals to stop, with those from before the call; nil if the program's verb handles none. Each signal
// goes to one reader.
func Stops() <-chan os.Signal { return stops }
