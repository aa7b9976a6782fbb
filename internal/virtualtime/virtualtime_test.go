package virtualtime_test

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestExpiredTimersOfOneBubbleDoNotBreakTheRaceDetector guards against test processes that end in the race detector while
// many goroutines of one bubble receive from timers that have expired.
func TestExpiredTimersOfOneBubbleDoNotBreakTheRaceDetector(t *testing.T) {
	const bubbles, goroutines, timers = 5, 64, 2000
	for range bubbles {
		virtualtime.Test(t, func(t *testing.T) {
			var receivers sync.WaitGroup
			for range goroutines {
				receivers.Go(func() { receiveExpired(timers) })
			}
			receivers.Wait()
		})
	}
}

func receiveExpired(timers int) {
	for range timers {
		timer := time.NewTimer(0)
		<-timer.C
	}
}

// TestProcessorsAreRestored guards against later tests that run on one processor.
func TestProcessorsAreRestored(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	virtualtime.Test(t, func(*testing.T) {})
	if after := runtime.GOMAXPROCS(0); after != before {
		t.Errorf("the process uses %d processors after the test, want %d", after, before)
	}
}

// TestNoOtherTestStartsABubbleItself guards against tests that break the race detector, as they don't use this package.
func TestNoOtherTestStartsABubbleItself(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if call := []byte("synctest." + "Test("); bytes.Contains(source, call) {
			t.Errorf("%s calls %s...); use virtualtime.Test", path, call)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
