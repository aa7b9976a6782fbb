package poison

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestTryAwaitsALivingPeer guards against losing a fourth engine to a request whose next try reaches a process that has just started,
// while the answers of its peers are late: it waits until one has answered, with a limit, and for none where all have ended.
func TestTryAwaitsALivingPeer(t *testing.T) {
	const late = 2 * reportTimeout
	for name, test := range map[string]struct {
		peers   [3]state
		latency time.Duration
		want    time.Duration
		ended   int
	}{
		"all are late":                      {latency: late, want: late, ended: MaxEngines},
		"one is late, the others are lost":  {peers: [3]state{healthy, unresponsive, unresponsive}, latency: late, want: late, ended: MaxEngines},
		"one is late, the others ended":     {peers: [3]state{healthy, refusing, refusing}, latency: late, want: late, ended: MaxEngines},
		"one answers, the others are lost":  {peers: [3]state{healthy, unresponsive, unresponsive}, want: reportTimeout, ended: MaxEngines},
		"all ended":                         {peers: [3]state{refusing, refusing, refusing}},
		"all are lost":                      {peers: [3]state{unresponsive, unresponsive, unresponsive}, want: maxAnswerWait},
		"some ended and the other one lost": {peers: [3]state{unresponsive, refusing, refusing}, want: maxAnswerWait},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f, key := newFleet(t, len(test.peers)), KeyOf([]byte("x"))
				f.endEngines(t, key, 0, 1, 2)
				for number, behavior := range test.peers {
					f.set(number, behavior)
				}
				f.setLatency(test.latency)
				started := f.add(len(test.peers))
				started.SetPeers(f, []string{address(0), address(1), address(2)})
				begin := time.Now()
				started.AwaitAnswers(t.Context())
				if took := time.Since(begin); took != test.want {
					t.Errorf("the try waited for %s, want %s", took, test.want)
				}
				f.expectEnded(t, len(test.peers), key, test.ended)
				time.Sleep(questionsEnd)
			})
		})
	}
}

// TestStartedPeersAreAnAnswer guards against delaying the first tries after a loss of all nodes: the answer of a peer that has
// just started as well is enough, beside one that is lost and one that has ended.
func TestStartedPeersAreAnAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.set(0, unresponsive)
		f.set(1, refusing)
		started := f.add(2)
		f.add(3)
		started.SetPeers(f, []string{address(0), address(1), address(3)})
		begin := time.Now()
		started.AwaitAnswers(t.Context())
		if took := time.Since(begin); took != reportTimeout {
			t.Errorf("the try waited for %s, want %s", took, reportTimeout)
		}
		time.Sleep(questionsEnd)
	})
}

// setLatency sets how long a message takes.
func (f *fleet) setLatency(latency time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.latency = func() time.Duration { return latency }
}
