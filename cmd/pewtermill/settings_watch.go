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

// settingsRetryInterval is the time between two attempts of a starting process to read its settings.
const settingsRetryInterval = 50 * time.Millisecond

// awaitSettings reads the settings of a process that starts. The file may just be being written, so it tries again until the
// file holds settings, and logs why it does not, once for each reason. It returns an error if ctx ends first.
func awaitSettings(ctx context.Context, path string, logger *slog.Logger) (platform.Settings, error) {
	read := make(chan platform.Settings, 1)
	go func() { // a read may block: the file need not be on a local disk
		failure := ""
		for {
			settings, err := platform.ReadSettings(path)
			if err == nil {
				read <- settings
				return
			}
			if err.Error() != failure {
				failure = err.Error()
				logger.Warn("settings not read yet", "error", failure)
			}
			if !backoff.Wait(ctx, settingsRetryInterval) {
				return
			}
		}
	}()
	select {
	case settings := <-read:
		return settings, nil
	case <-ctx.Done():
		return platform.Settings{}, ctx.Err()
	}
}

// settingsWatch applies the settings that can change while the process runs: the address of the store. Safe for
// concurrent use.
type settingsWatch struct {
	path   string
	store  *platform.Store
	logger *slog.Logger
	// needsRestart is called when settings have changed that are in force only after a start. It must not block.
	needsRestart func()

	mutex   sync.Mutex
	file    os.FileInfo // of the settings that were read last; nil before the first poll
	current platform.Settings
	failure string // of the last attempt to read the file; empty if it succeeded
}

// newSettingsWatch returns a watch of the file that the settings were read from. The first poll reads it again, since it may
// have changed in the meantime.
func newSettingsWatch(path string, current platform.Settings, store *platform.Store, needsRestart func(), logger *slog.Logger) *settingsWatch {
	return &settingsWatch{path: path, store: store, needsRestart: needsRestart, logger: logger, current: current}
}

// run polls the file, and reads it again for each signal, until ctx ends.
func (w *settingsWatch) run(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.poll()
		case <-reload:
			w.reload()
		case <-ctx.Done():
			return
		}
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
	changed := !reflect.DeepEqual(settings.Serving, w.current.Serving)
	w.logger.Info("settings reloaded", "store", settings.StoreAddress, "needs_restart", changed)
	w.current = settings
	if changed {
		w.needsRestart()
	}
}

// reportFailure logs why the settings were not read, once for each reason. The mutex is held.
func (w *settingsWatch) reportFailure(err error) {
	if err.Error() == w.failure {
		return
	}
	w.failure = err.Error()
	w.logger.Warn("settings not reloaded", "error", w.failure)
}
