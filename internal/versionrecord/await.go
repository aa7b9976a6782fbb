package versionrecord

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Await waits until a version of a service that is listed is in the record, or the context ends. Then it returns an error if the
// record lacks the version, or was never read while several versions of the service are listed and no peer has told that this one is
// in it: no stream that clients may resume is to start there yet. It returns nil at once if the version is in the record, and also while
// the record is empty: nothing is concluded from it then.
func (k *Keeper) Await(ctx context.Context, service, version string) error {
	for {
		mayStart, updated := k.mayStart(service, version)
		if mayStart {
			return nil
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return errors.Newf("version %s of service %s is not in the record of software versions yet, as far as that was read", version, service)
		}
	}
}

// mayStart reports whether streams may start at a version, by the record as this node knows it. The channel is closed when that may
// have changed.
func (k *Keeper) mayStart(service, version string) (bool, <-chan struct{}) {
	k.mutex.Lock()
	read, updated := k.read, k.updated
	recorded := k.isRecorded(versionKey{service, version})
	k.mutex.Unlock()
	return recorded || !read && !k.listsSeveral(service), updated
}

// isRecorded reports whether streams may start at a version by the record, as this node has read it or peers have told. The mutex is held.
func (k *Keeper) isRecorded(key versionKey) bool {
	if !k.read {
		return k.told[key]
	}
	return len(k.record.Services) == 0 || k.record.has(key.service, key.version) && !k.unlisted[key]
}

// listsSeveral reports whether several versions of a service are listed.
func (k *Keeper) listsSeveral(service string) bool {
	seen, _ := k.options.Observe()
	return len(seen.Services[service].Versions) > 1
}
