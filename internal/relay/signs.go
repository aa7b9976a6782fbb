package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/progress"
)

// signEvery is how often a peer says that it is at work on a call that the service has not answered
// yet. It lets the asking node tell a slow service from a peer that is gone.
const signEvery = 100 * time.Millisecond

// signer says that a call is under way: by empty parts, from when the call itself should have ended.
type signer struct {
	stop chan struct{}
	done sync.WaitGroup
}

// startSigner begins to give signs for a call that itself takes so long.
func startSigner(wait time.Duration, onPart func(offset int64, text []byte)) *signer {
	s := &signer{stop: make(chan struct{})}
	s.done.Go(func() {
		next := time.NewTimer(wait + signEvery)
		defer next.Stop()
		for {
			select {
			case <-next.C:
				onPart(0, nil)
				next.Reset(signEvery)
			case <-s.stop:
				return
			}
		}
	})
	return s
}

// end returns once no more signs are given.
func (s *signer) end() {
	close(s.stop)
	s.done.Wait()
}

// signed returns what takes signs of a call that a peer makes: each allows for another silence of the
// peer, until the peer itself would have given the call up.
func signed(ctx context.Context, wait time.Duration) func(offset int64, text []byte) {
	end := time.Now().Add(wait + serveTimeout)
	return func(int64, []byte) {
		if time.Now().Before(end) {
			progress.Made(ctx)
		}
	}
}
