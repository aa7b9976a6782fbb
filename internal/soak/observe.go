package soak

import (
	"fmt"
	"time"
)

// Promise names a property that is checked.
type Promise string

// Promises.
const (
	History          Promise = "history"       // an engine gets the inputs and outputs of the conversation so far
	Retained         Promise = "retained"      // a program can continue from a turn that was answered completely
	Budget           Promise = "budget"        // tokens delivered stay within the program's budget
	AtMostOnce       Promise = "once"          // a request that may not be repeated runs at most once
	NotRun           Promise = "not_run"       // a rejected request has not run and never will
	IntactAnswer     Promise = "whole"         // an answer that looks complete is the engine's
	UnalteredRequest Promise = "asked"         // engines get what callers sent
	ValidNotRejected Promise = "denied"        // valid requests are not answered 4xx
	EngineLeft       Promise = "engine_left"   // a leaving engine gets nothing after the bound
	Evacuated        Promise = "evacuated"     // the engines of an evacuated zone get nothing after the bound
	Configured       Promise = "configuration" // a version is active within its bound
	ColdLimit        Promise = "cold_limit"    // cold engines get a limited number of requests per second
	PlannedStop      Promise = "planned_stop"  // a planned stop cuts no request
	ExpectedExit     Promise = "ends"          // processes exit when ordered to, and only then
	TenantLimit      Promise = "limit"         // a tenant's requests over a window stay within its limit
	ReportsReady     Promise = "ready"         // a connected process reports that it is ready
	WithinLimit      Promise = "within_limit"  // a tenant within its limit is not throttled
	Answered         Promise = "answered"      // a connected process responds while its caller waits

	OpenConnection Promise = "open_connection" // a request on an open connection gets an answer or a rejection
	ForeignIgnored Promise = "stranger"        // nothing is sent to the address in a foreign entry
	OneVersion     Promise = "one_version"     // a stream's events come from engines of one software version
	StreamResumes  Promise = "goes_on"         // streams that callers resume continue while engines of their version serve
	WithinMemory   Promise = "memory"          // a process stays within its memory
	EndlessAborted Promise = "endless"         // an answer without an end is aborted
	EnginesEnded   Promise = "engines_ended"   // a request that ends its engines reaches a limited number of them
	KeepsServing   Promise = "serves_on"       // other engines of a service with a foreign entry keep serving, and a restarted engine serves again
)

// Finding is an observed violation of a promise.
type Finding struct {
	Seed    uint64  `json:"seed"`
	Second  float64 `json:"second"` // since the start of the soak
	Promise Promise `json:"promise"`
	Seen    string  `json:"seen"`
	Request string  `json:"request,omitempty"`
	Process string  `json:"process,omitempty"`
	Build   string  `json:"build,omitempty"` // "program" or "beside", which the process ran; empty if all run the same
	Engine  string  `json:"engine,omitempty"`
}

// Attempt is one request of a caller.
type Attempt struct {
	ID             string
	Process        string
	Build          string // see Finding
	Route          string
	Path           string
	Repeatable     bool   // may run more than once
	Body           string // as an engine must get it, with the history of its conversation
	PreviousTurn   string // turn that it continues from
	Tenant         string
	Program        string
	Budget         int64         // of the program; 0 for none
	MaxTokens      int64         // limit of this turn
	Events         int           // events of an engine's answer; 0 for an answer that is no stream
	ResumesID      string        // attempt that started the stream that this one resumes; empty for none
	EventsReceived int           // events of that stream that its caller had received before
	Deadline       time.Duration // the caller's, or the route's timeout if that may be shorter
	Incomplete     bool          // the end of its body is never sent; it must not run, and has no other verdict
}

// Arrival is a request as an engine receives it.
type Arrival struct {
	ID     string
	Engine string
	Path   string
	Body   string
}

// Outcome is the outcome of an attempt as its caller saw it.
type Outcome struct {
	ConnectFailed bool // no connection could be opened
	GaveUp        bool // the client timed out and disconnected
	Status        int  // 0 without a response
	ID            string
	Seal          string
	Events        []string // complete ones
	Body          string   // of an answer that is no stream
	Complete      bool     // the answer ended regularly

	Progress string // how far the exchange had got, for findings; empty for keep-alive callers

	// Only for keep-alive callers:
	FirstBytesSent bool          // the first bytes were sent while the connection was open
	AllBytesSent   bool          // and so were the last ones
	LastBytesAt    time.Duration // when the last bytes were sent, or would have been
	SendingTook    time.Duration // from the first bytes until LastBytesAt
}

// Seal returns the seal of an engine's answer.
func Seal(engine, id string) string { return engine + "." + id }

// EventData returns the data of one event. The events of non-repeatable requests name their engine.
func EventData(attempt, engine string, number int, repeatable bool) string {
	if repeatable {
		engine = "any"
	}
	return fmt.Sprintf("%s %s %d", attempt, engine, number)
}

// AnswerBody returns the body of an engine's answer that is no stream.
func AnswerBody(attempt, engine string) string { return "answer of " + engine + " to " + attempt }
