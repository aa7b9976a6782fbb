package main

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/platform"
)

// settingsPollInterval is the time between two looks at the settings file. The file may change without a signal, and a
// process that stays with a store that has moved follows no configuration.
const settingsPollInterval = 500 * time.Millisecond

// settingsWatch applies the settings that can change while the process runs: the address of the store. Safe for
// concurrent use.
type settingsWatch struct {
	path   string
	store  *platform.Store
	logger *slog.Logger

	mutex   sync.Mutex
	file    os.FileInfo // of the settings that were read last; nil before the first poll
	current platform.Settings
	failure string // of the last attempt to read the file; empty if it succeeded
}

// newSettingsWatch returns a watch of the file that the settings were read from. The first poll reads it again, since it may
// have changed in the meantime.
func newSettingsWatch(path string, current platform.Settings, store *platform.Store, logger *slog.Logger) *settingsWatch {
	return &settingsWatch{path: path, store: store, logger: logger, current: current}
}

// run polls the file until ctx ends.
func (w *settingsWatch) run(ctx context.Context) {
	for backoff.Wait(ctx, settingsPollInterval) {
		w.poll()
	}
}

// poll reads the settings again if the file has changed.
func (w *settingsWatch) poll() {
	file, err := os.Stat(w.path)
	if err != nil {
		return // it is being replaced; the settings in force stay
	}
	w.mutex.Lock()
	unchanged := w.file != nil && os.SameFile(w.file, file) && w.file.ModTime().Equal(file.ModTime()) && w.file.Size() == file.Size()
	w.mutex.Unlock()
	if !unchanged {
		w.reload()
	}
}

// reload reads the settings again and applies what differs. Settings that cannot be read change nothing, and the next poll
// tries again.
func (w *settingsWatch) reload() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	file, err := os.Stat(w.path)
	if err != nil {
		w.reportFailure(err)
		return
	}
	settings, err := platform.ReadSettings(w.path)
	if err != nil {
		w.reportFailure(err)
		return
	}
	w.file, w.failure = file, ""
	if reflect.DeepEqual(settings, w.current) {
		return
	}
	w.store.SetAddress(settings.StoreAddress)
	w.logger.Info("settings reloaded", "store", settings.StoreAddress,
		"needs_restart", !reflect.DeepEqual(settings.Serving, w.current.Serving))
	w.current = settings
}

// reportFailure logs why the settings were not read, once for each reason. The mutex is held.
func (w *settingsWatch) reportFailure(err error) {
	if err.Error() == w.failure {
		return
	}
	w.failure = err.Error()
	w.logger.Warn("settings not reloaded", "error", w.failure)
}
