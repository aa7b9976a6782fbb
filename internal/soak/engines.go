package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/standin/loopback"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// Times of the engine stand-ins.
const (
	engineDelay           = 8 * time.Millisecond // before the first event, and between events
	entryExpiry           = 2 * time.Second      // time after which the entry of an engine that no longer writes it is removed
	drainedLifetime       = drainBound + 4*time.Second
	replacementDelay      = time.Second
	abortedStreamInterval = 3 // one in so many resumable single-attempt streams is aborted, regardless of faults
)

// incarnation is one process lifetime of an engine.
type incarnation struct {
	*operators.Engine
	name      string // name in checks: the engine's ID, with the restart count if it is not 0
	address   *loopback.Address
	faultMode atomic.Value // Kind of the injected fault; empty for none
	calls     atomic.Int64
}

// slot holds one engine at a time; when one ends, another replaces it.
type slot struct {
	name, service, zone string

	busy        sync.Mutex   // held while a fault is applied to the slot
	number      int          // index among the slots of the service
	engineCount int          // engines started so far
	restarts    int          // of the current engine
	released    string       // software version of the next engine; empty for the next one in turn
	current     *incarnation // guarded by busy while the soak runs
}

// addEngine starts the slot's next engine and writes its entry to the store.
func (d *deployment) addEngine(s *slot, cold time.Duration) {
	s.engineCount++
	s.restarts = 0
	d.startEngine(s, fmt.Sprintf("%s-%d", s.name, s.engineCount), reserveAddress(), cold)
}

// reserveAddress reserves an address for an engine. As the test servers of net/http/httptest, it panics if there is none.
func reserveAddress() *loopback.Address {
	address, err := loopback.Reserve()
	if err != nil {
		panic(err)
	}
	return address
}

// softwareVersions is the number of engine software versions unless the options set it.
const softwareVersions = 3

// version returns the software version of the slot's engine, one of the given number of versions, unless one is released. Two of
// them are in use from the start, every second replacement moves on to the next one, and so does each restart under the same ID.
func (s *slot) version(versions int) string {
	if s.released != "" {
		return s.released
	}
	return fmt.Sprintf("v%d", 1+(s.number%2+(s.engineCount-1)/2+s.restarts)%versions)
}

// startEngine starts an engine at an address as the slot's current one and writes its entry to the store.
func (d *deployment) startEngine(s *slot, id string, address *loopback.Address, cold time.Duration) {
	started, err := operators.NewEngineAt(id, 0, address)
	if err != nil {
		panic(err) // nobody else listens on a reserved address
	}
	started.SetVersion(s.version(cmp.Or(d.engineVersions, softwareVersions)))
	engine := &incarnation{Engine: started, name: started.ID, address: address}
	if s.restarts > 0 {
		engine.name = fmt.Sprintf("%s/%d", started.ID, s.restarts)
	}
	engine.faultMode.Store(Kind(""))
	engine.SetHandler(func(writer http.ResponseWriter, request *http.Request) bool {
		d.handle(engine, writer, request)
		return true
	})
	s.current = engine
	d.checker.EngineAdded(d.now(), engine.name, s.service, s.zone, cold)
	if s.service == serviceModels {
		d.checker.EngineVersion(engine.name, started.Version())
	}
	d.putEntry(s, "ready", cold)
}

// putEntry writes the entry of a slot's engine.
func (d *deployment) putEntry(s *slot, state string, cold time.Duration) {
	d.store.PutEngine(s.current.Engine, s.service, s.zone, state, cold)
}

// handle handles a request as an engine does, or according to the injected fault.
func (d *deployment) handle(engine *incarnation, writer http.ResponseWriter, request *http.Request) {
	parsed, valid := operators.ParseRequest(request)
	if !valid {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	mode := engine.faultMode.Load().(Kind)
	if engine.calls.Add(1)%2 == 0 {
		mode = "" // half of the calls succeed
	}
	if mode == EngineRefuse {
		operators.Shed(writer, request)
		return
	}
	d.checker.RequestArrived(d.now(), Arrival{ID: parsed.ID, Engine: engine.name, Path: parsed.Path, Body: parsed.Body})
	if d.endUnder(engine, request, parsed) {
		panic(http.ErrAbortHandler)
	}
	if mode == EngineErrors {
		d.checker.EngineAnswers(engine.name, parsed.ID, http.StatusInternalServerError)
		operators.WriteAnswerHeader(writer, parsed.ID, Seal(engine.name, parsed.ID), http.StatusInternalServerError, false)
		return
	}
	d.checker.EngineAnswers(engine.name, parsed.ID, http.StatusOK)
	if mode == EngineEndless {
		d.answerEndlessly(engine, writer, request, parsed)
		return
	}
	d.runRequest(engine, writer, request, parsed, mode == EngineAbort)
}

// runRequest answers a request in full, or aborts the answer halfway.
func (d *deployment) runRequest(engine *incarnation, writer http.ResponseWriter, request *http.Request, parsed operators.ParsedRequest, abort bool) {
	if abort {
		d.checker.AnswerAborted(parsed.ID)
	}
	if !backoff.Wait(request.Context(), engineDelay) {
		d.checker.ClientDisconnected(d.now(), parsed.ID, engine.name)
		return
	}
	stream := parsed.MaxTokens > 0
	if abort && !stream {
		panic(http.ErrAbortHandler)
	}
	operators.WriteAnswerHeader(writer, parsed.ID, Seal(engine.name, parsed.ID), http.StatusOK, stream)
	if !stream {
		_, _ = writer.Write([]byte(AnswerBody(parsed.ID, engine.name))) // fails if the client has disconnected
		return
	}
	once := strings.HasPrefix(parsed.Path, "/"+routeOnce+"/")
	repeatable := once || strings.HasPrefix(parsed.Path, "/"+routeResumed+"/")
	if once && parsed.LastEventID == 0 && engine.calls.Load()%abortedStreamInterval == 0 {
		d.checker.AnswerAborted(parsed.ID)
		abort = true
	}
	events := int(parsed.MaxTokens / tokensPerEvent)
	for number := parsed.LastEventID + 1; number <= events; number++ {
		if abort && number > events/2 {
			panic(http.ErrAbortHandler)
		}
		data := EventData(parsed.ID, engine.name, number, repeatable)
		if repeatable {
			data = VersionedEvent(data, engine.Version())
		}
		operators.WriteEvent(writer, number, data)
		if !backoff.Wait(request.Context(), engineDelay) {
			d.checker.ClientDisconnected(d.now(), parsed.ID, engine.name)
			return
		}
	}
}

// maxEndlessBytes is how much an engine sends at most if its caller does not close the connection.
const maxEndlessBytes = 512 << 20

// endlessForms are the forms that pass for no part of a whole answer. Of those that begin one, only a stream is tried:
// callers read the start of another body as it is.
func endlessForms(stream bool) []operators.EndlessForm {
	return slices.DeleteFunc(slices.Clone(operators.EndlessForms), func(form operators.EndlessForm) bool {
		return form.HasEvents || form.Begins && !stream
	})
}

// answerEndlessly sends bytes without an end, in each form in turn.
func (d *deployment) answerEndlessly(engine *incarnation, writer http.ResponseWriter, request *http.Request, parsed operators.ParsedRequest) {
	d.checker.AnswerAborted(parsed.ID)
	forms := endlessForms(parsed.MaxTokens > 0)
	form := forms[d.endless.Add(1)%int64(len(forms))]
	sent, _ := operators.AnswerEndlessly(form, Seal(engine.name, parsed.ID), maxEndlessBytes, writer, request)
	d.checker.EndlessAnswerClosed(d.now(), parsed.ID, engine.name, form.Name, sent, maxEndlessBytes)
}

// terminate closes the engine's listener and connections at once and gives up its address.
func (e *incarnation) terminate() {
	e.crash()
	_ = e.address.Close() // may be closed already
}

// crash closes the engine's listener and connections at once. Its address stays reserved.
func (e *incarnation) crash() {
	_ = e.Server.Listener.Close() // may be closed already
	e.Server.CloseClientConnections()
}

// injectAnswerFault applies a fault to the answers of a slot's engine for the fault's duration. It returns false if
// the engine got no request in that time, as the fault then had no effect.
func (d *deployment) injectAnswerFault(s *slot, fault Fault) bool {
	engine := s.current
	before := engine.calls.Load()
	engine.faultMode.Store(fault.Kind)
	backoff.Wait(d.context, fault.Duration)
	engine.faultMode.Store(Kind(""))
	return engine.calls.Load() > before
}

// retireEngine replaces a slot's engine as planned, at once: it announces that the engine drains, or removes its
// entry.
func (d *deployment) retireEngine(s *slot, announced bool) {
	retired := s.current
	if announced {
		d.putEntry(s, "draining", 0)
	} else {
		d.store.RemoveEngine(retired.ID)
	}
	d.checker.EngineLeaving(d.now(), retired.name)
	d.addEngine(s, 0)
	d.later(drainedLifetime, func() {
		d.store.RemoveEngine(retired.ID)
		d.checker.EngineCrashed(retired.name)
		retired.terminate()
	})
}

// Times of restarts of an engine.
const (
	shortRestartDelay = 100 * time.Millisecond // the entry does not expire in that time
	// servingCheckDelay is the time within which a restarted engine gets a request if nothing else happens. Requests
	// may be kept from it until it is warm, and after that as long as the other engines respond faster than the
	// estimate for it.
	servingCheckDelay = coldDuration + 18*time.Second
	// demandDuration is how long the other engines of its service drain so that the restarted one is needed. It is
	// longer than the drain bound.
	demandDuration = drainBound + time.Second
)

// restartEngine terminates a slot's engine and restarts it under its ID: shortly afterwards or after its entry has
// expired, at the same address or another one, cold or not.
func (d *deployment) restartEngine(s *slot, fault Fault) {
	crashed := s.current
	d.checker.EngineCrashed(crashed.name)
	crashed.crash()
	pause, cold := shortRestartDelay, time.Duration(0)
	if fault.Target>>32&1 == 1 {
		pause = entryExpiry
	}
	if fault.Target>>33&1 == 1 {
		cold = coldDuration
	}
	if !backoff.Wait(d.context, pause) {
		return
	}
	if pause == entryExpiry {
		d.store.RemoveEngine(crashed.ID)
	}
	address := crashed.address
	if fault.Target>>34&1 == 0 {
		address = reserveAddress()
		_ = crashed.address.Close() // fails only if it is closed
	}
	s.restarts++
	d.startEngine(s, crashed.ID, address, cold)
	startedAt, restarted := d.now(), s.current
	d.later(servingCheckDelay, func() { d.checkRestarted(s, restarted, startedAt) })
}

// checkRestarted checks that a restarted engine gets requests, unless a fault is applied to its slot or another engine
// has replaced it.
func (d *deployment) checkRestarted(s *slot, restarted *incarnation, startedAt time.Duration) {
	if !s.busy.TryLock() {
		return
	}
	defer s.busy.Unlock()
	if s.current != restarted || !slices.Contains(alwaysRequested, s.service) {
		return
	}
	if d.checker.RequestsServed()[restarted.name] > 0 || d.createDemand(s) {
		d.checker.CheckRestartedEngine(d.now(), startedAt, restarted.name)
	}
}

// createDemand makes the other engines of a slot's service drain for demandDuration. An engine without open
// connections is estimated as more expensive than idle ones, so not using it while they are idle is correct. It
// returns false if the soak ended in that time.
func (d *deployment) createDemand(s *slot) bool {
	var others []*slot
	for _, other := range d.slots {
		if other != s && other.service == s.service && other.busy.TryLock() {
			defer other.busy.Unlock()
			others = append(others, other)
		}
	}
	if len(others) == 0 {
		return true
	}
	for _, other := range others {
		d.putEntry(other, "draining", 0)
		d.checker.EngineLeaving(d.now(), other.current.name)
	}
	completed := backoff.Wait(d.context, demandDuration)
	for _, other := range others {
		d.checker.EngineReturned(other.current.name)
		if other.service == serviceModels {
			d.checker.EngineVersion(other.current.name, other.current.Version())
		}
		d.putEntry(other, "ready", 0)
	}
	return completed
}

// crashCold terminates a slot's engine and replaces it by a cold one. For half of the targets it does the same to the
// other engines of the service: all requests of the service then go to cold engines, which get almost none while
// others are warm.
func (d *deployment) crashCold(s *slot, fault Fault) {
	var others sync.WaitGroup
	for _, other := range d.slots {
		if fault.Target>>32&1 == 1 && other != s && other.service == s.service && other.busy.TryLock() {
			others.Go(func() {
				defer other.busy.Unlock()
				d.crash(other, coldDuration)
			})
		}
	}
	d.crash(s, coldDuration)
	others.Wait()
}

// crash terminates a slot's engine, and later replaces it.
func (d *deployment) crash(s *slot, cold time.Duration) {
	crashed := s.current
	d.checker.EngineCrashed(crashed.name)
	crashed.terminate()
	d.later(entryExpiry, func() { d.store.RemoveEngine(crashed.ID) })
	if backoff.Wait(d.context, replacementDelay) {
		d.addEngine(s, cold)
	}
}
