package main

import (
	"context"
	"os"
)

// orders are what signals tell a process to do.
type orders struct {
	stop    context.Context  // ends with the first order to stop
	stopNow context.Context  // ends with the second one, which cuts a planned stop short
	reload  <-chan os.Signal // receives a signal when the settings are to be read again
}

// followSignals turns signals into orders until the process ends.
func followSignals(stops, reloads <-chan os.Signal) *orders {
	stop, orderStop := context.WithCancel(context.Background())
	stopNow, orderStopNow := context.WithCancel(context.Background())
	go func() {
		for range stops {
			if stop.Err() == nil {
				orderStop()
			} else {
				orderStopNow()
			}
		}
	}()
	return &orders{stop: stop, stopNow: stopNow, reload: reloads}
}
