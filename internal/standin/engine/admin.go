package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// Faults are the fault switches; the zero value has none on.
type Faults struct {
	CutStreamAfterBytes int     `json:"cut_stream_after_bytes"` // bytes of text per connection; 0 means no limit
	CutForgetsStream    bool    `json:"cut_forgets_stream"`     // a cut stream cannot be resumed
	ResumeOverlapBytes  int     `json:"resume_overlap_bytes"`   // bytes that a resume sends again
	DropReplyNext       int     `json:"drop_reply_next"`        // requests that run but whose connection is cut before any response
	SlowFactor          float64 `json:"slow_factor"`            // multiplies the time of all work; 0 means 1
	Refuse              bool    `json:"refuse"`
	Leaving             bool    `json:"leaving"`
	DropEventsShare     float64 `json:"drop_events_share"` // share of cache events to drop, chosen by Seed
	Seed                uint64  `json:"seed"`
}

// SetFaults replaces all fault switches.
func (e *Engine) SetFaults(faults Faults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = faults
	e.model.SetSlowFactor(time.Now(), faults.SlowFactor)
	e.wakeDriver()
}

// consumeDroppedReply reports whether to drop the next reply and counts it. The caller holds the mutex.
func (e *Engine) consumeDroppedReply() bool {
	if e.faults.DropReplyNext <= 0 {
		return false
	}
	e.faults.DropReplyNext--
	return true
}

func (e *Engine) serveHolds(writer http.ResponseWriter, _ *http.Request) {
	backend.WriteJSON(writer, http.StatusOK, backend.WireHolds{Programs: e.Holds()})
}

func (e *Engine) serveRelease(writer http.ResponseWriter, request *http.Request) {
	e.mutex.Lock()
	e.model.Release(time.Now(), request.PathValue("program"))
	e.mutex.Unlock()
	writer.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	load := e.reportedLoad()
	e.mutex.Unlock()
	backend.WriteJSON(writer, http.StatusOK, load)
}

func (e *Engine) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.FormValue("after"), 10, 64)
	if err != nil {
		backend.WriteError(writer, http.StatusBadRequest, backend.WireInvalid, "after is not a sequence number")
		return
	}
	e.mutex.Lock()
	page := e.publishedEvents(after)
	e.mutex.Unlock()
	backend.WriteJSON(writer, http.StatusOK, page)
}

func (e *Engine) serveLog(writer http.ResponseWriter, _ *http.Request) {
	backend.WriteJSON(writer, http.StatusOK, e.Log())
}
