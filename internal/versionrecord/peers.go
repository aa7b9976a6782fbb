package versionrecord

import (
	"context"
	"fmt"
	"slices"
	"sync"
)

// Recorded returns the listed versions of a service at which streams may start by the record, for peers that have not read it; none if
// this node has not read it either.
func (k *Keeper) Recorded(service string) []string {
	seen, complete := k.options.Observe()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !complete || !k.read {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(seen.Services[service].Listed), func(version string) bool { return !k.isRecorded(versionKey{service, version}) })
}

// readFirst reads the record for the first time. Peers are asked meanwhile which versions are in it: they may have read it before the
// store ceased to answer.
func (k *Keeper) readFirst(ctx context.Context, seen Observation) error {
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	var queries sync.WaitGroup
	defer queries.Wait()
	for name, service := range seen.Services {
		if len(service.Versions) > 1 {
			queries.Go(func() { k.askPeers(asking, name) })
		}
	}
	err := k.readRecord(ctx, seen)
	if err == nil {
		cancel()
	}
	return err
}

// askPeers asks peers which versions of a service are in the record.
func (k *Keeper) askPeers(ctx context.Context, service string) {
	versions := k.options.AskPeers(ctx, service, fmt.Sprintf("%s/%s/%d", k.options.RunID, service, k.failures))
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.read || len(versions) == 0 {
		return
	}
	for _, version := range versions {
		k.told[versionKey{service, version}] = true
	}
	k.notifyUpdated()
}
