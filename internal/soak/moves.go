package soak

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// storeOverlap is how long a store that moves serves at both addresses.
const storeOverlap = 3 * time.Second

// moveStore gives the store another address for each process. The settings files name it, and no process gets a signal.
func (d *deployment) moveStore(fault Fault) bool {
	d.moveMutex.Lock()
	defer d.moveMutex.Unlock()
	d.checker.DisruptionStarted(storeName, false)
	defer func() { d.checker.DisruptionEnded(d.now(), storeName, false) }()
	inPlace := fault.Target%2 == 0
	for _, p := range d.processes {
		leave := p.endpoint.Move()
		defer leave()
		if err := p.replaceSettings(inPlace); err != nil {
			d.checker.ProcessEnded(d.now(), p.settings.Node, false, err.Error())
			return false
		}
	}
	backoff.Wait(d.context, storeOverlap)
	return true
}
