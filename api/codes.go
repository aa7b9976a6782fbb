// Package api holds the types that callers and operators exchange with a
// node: programs, calls, results, and the numbered result codes. It has no
// dependencies inside the project, so that a client can import it alone.
package api

import (
	"fmt"
	"net/http"
	"time"
)

// Execution states whether a call ran at a back end, as far as that is known.
type Execution string

const (
	// NotRun means that the call certainly did not run and never will as a
	// result of the rejected attempt.
	NotRun Execution = "not_run"
	// Ran means that the call ran to completion.
	Ran Execution = "ran"
	// Unknown means that the call was, or may have been, dispatched and that its
	// outcome cannot be determined.
	Unknown Execution = "unknown"
	// NotRunThisAttempt is used only between nodes: this request did not run the
	// call, but the responding node cannot determine whether an earlier request
	// for the same call did. The gateway converts it to NotRun if the caller
	// states that there was no earlier request, otherwise to Unknown.
	NotRunThisAttempt Execution = "not_run_here"
)

// Code is a numbered result code. The numbers are stable: a code is never renumbered and a retired number is never
// reused. docs/result-codes.md lists each code's name, HTTP status, execution and retry advice.
type Code int

// Result codes, grouped by hundreds: 1xx invalid requests of the caller, 2xx limits, 3xx temporary conditions,
// 4xx back ends, 5xx internal errors.
const (
	OK Code = 0

	MalformedRequest  Code = 101
	RequestTooLarge   Code = 102
	Unauthenticated   Code = 103
	ProgramNotFound   Code = 104
	CallNotFound      Code = 105
	SequenceConflict  Code = 106 // the number was used with another body
	SequenceGap       Code = 107 // the number is too far ahead
	UnknownTarget     Code = 108
	ProgramEnded      Code = 109
	CallTooLarge      Code = 110 // the maximum cost of one call can never fit
	MethodNotAllowed  Code = 111
	PathNotFound      Code = 112
	BundleInvalid     Code = 120
	BundleUnsigned    Code = 121
	BundleStale       Code = 122
	OperatorForbidden Code = 123

	BudgetExhausted  Code = 201
	CallLimit        Code = 202
	DepthLimit       Code = 203
	TokenLimit       Code = 204
	WallTimeLimit    Code = 205
	TenantLimit      Code = 206
	DeadlineExceeded Code = 207 // not dispatched: the deadline leaves no time to run
	TargetForbidden  Code = 208 // the tenant may not use this target

	Overloaded        Code = 301
	NoReadyBackend    Code = 302
	Draining          Code = 303
	OwnerMoving       Code = 304
	StoreDown         Code = 305
	CallPending       Code = 306 // the requested result is not final yet
	NotReady          Code = 307
	ZonesEvacuated    Code = 308 // engines are available, but only in zones that an operator has evacuated
	NoEngineInRegions Code = 309 // no region that the route and the tenant allow has an engine
	// BudgetUnsettled: other nodes hold the part of the budget that the call needs
	BudgetUnsettled Code = 310
	AtCapacity      Code = 311 // engines have no capacity for a new program
	RegionLinkFull  Code = 312 // only other regions have engines, and the limit of inter-region traffic is reached
	// StreamVersionUnknown: no node that can be reached knows the version that started the stream
	StreamVersionUnknown Code = 313
	StreamVersionGone    Code = 314 // no back end of the version that started the stream can continue it
	UnknownMessage       Code = 315 // between nodes: the receiver's build does not support the message
	RequestEndsEngines   Code = 316 // back ends ended one after another while they ran the request
	RequestMemoryFull    Code = 317 // the requests of all callers hold as much memory as the node's machine allows

	BackendFailed  Code = 401 // ran and failed finally
	OutcomeUnknown Code = 402
	Cancelled      Code = 403 // aborted after dispatch, by the caller or a limit

	Internal Code = 501
)

// CodeInfo is one row of the result-code table.
type CodeInfo struct {
	Code       Code
	Name       string
	HTTPStatus int
	Execution  Execution
	Retry      bool // whether the same request may succeed later
	Meaning    string
}

var codeTable = []CodeInfo{
	{OK, "ok", http.StatusOK, Ran, false, "The call ran and its result is recorded."},
	{MalformedRequest, "malformed_request", http.StatusBadRequest, NotRun, false, "The request could not be read."},
	{RequestTooLarge, "request_too_large", http.StatusRequestEntityTooLarge, NotRun, false, "The body or a header is over its limit."},
	{Unauthenticated, "unauthenticated", http.StatusUnauthorized, NotRun, false, "The key is missing or wrong."},
	{ProgramNotFound, "program_not_found", http.StatusNotFound, NotRun, false, "No such program for this tenant."},
	{CallNotFound, "call_not_found", http.StatusNotFound, NotRun, false, "The program has no call under this number."},
	{SequenceConflict, "sequence_conflict", http.StatusConflict, NotRun, false, "This number was used with another body."},
	{SequenceGap, "sequence_gap", http.StatusConflict, NotRun, true, "The number is further ahead than calls may wait."},
	{UnknownTarget, "unknown_target", http.StatusUnprocessableEntity, NotRun, false, "The bundle names no such model or tool."},
	{ProgramEnded, "program_ended", http.StatusConflict, NotRun, false, "The program has ended."},
	{CallTooLarge, "call_too_large", http.StatusUnprocessableEntity, NotRun, false, "The call is larger than the target can take."},
	{MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, NotRun, false, "The path does not take this method."},
	{PathNotFound, "path_not_found", http.StatusNotFound, NotRun, false, "The endpoint has no such path."},
	{BundleInvalid, "bundle_invalid", http.StatusUnprocessableEntity, NotRun, false, "The bundle does not pass its checks."},
	{BundleUnsigned, "bundle_unsigned", http.StatusForbidden, NotRun, false, "The bundle lacks the sign-offs that the one in force demands."},
	{BundleStale, "bundle_stale", http.StatusConflict, NotRun, false, "The bundle is based on a version that is no longer in force."},
	{OperatorForbidden, "operator_forbidden", http.StatusForbidden, NotRun, false, "The key is not an operator's."},
	{BudgetExhausted, "budget_exhausted", http.StatusPaymentRequired, NotRun, false, "The call's dearest cost does not fit the program's budget."},
	{CallLimit, "call_limit", http.StatusTooManyRequests, NotRun, false, "The program has made as many calls as its class allows."},
	{DepthLimit, "depth_limit", http.StatusTooManyRequests, NotRun, false, "Sub-agents are nested as deep as the class allows."},
	{TokenLimit, "token_limit", http.StatusTooManyRequests, NotRun, false, "The program has used as many tokens as its class allows."},
	{WallTimeLimit, "wall_time_limit", http.StatusTooManyRequests, NotRun, false, "The program has lasted as long as its class allows."},
	{TenantLimit, "tenant_limit", http.StatusTooManyRequests, NotRun, true, "The tenant is at its limit; Retry-After says when to come back."},
	{DeadlineExceeded, "deadline_exceeded", http.StatusGatewayTimeout, NotRun, true, "The deadline left no time to run the call; it was not dispatched."},
	{TargetForbidden, "target_forbidden", http.StatusForbidden, NotRun, false, "The tenant may not use this target."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, NotRun, true, "The queue is too long; Retry-After says when to come back."},
	{NoReadyBackend, "no_ready_backend", http.StatusServiceUnavailable, NotRun, true, "No back end that can serve the call is ready."},
	{Draining, "draining", http.StatusServiceUnavailable, NotRun, true, "This node is stopping; ask another."},
	{OwnerMoving, "owner_moving", http.StatusServiceUnavailable, NotRun, true, "The program is moving between nodes."},
	{StoreDown, "store_down", http.StatusServiceUnavailable, NotRun, true, "The table service does not answer, so the call cannot be recorded."},
	{CallPending, "call_pending", http.StatusAccepted, Unknown, true, "The call is under way; ask again."},
	{NotReady, "not_ready", http.StatusServiceUnavailable, NotRun, true, "This node has no configuration yet."},
	{ZonesEvacuated, "zones_evacuated", http.StatusServiceUnavailable, NotRun, true, "The back ends that can serve the call are in zones that an operator has had evacuated."},
	{NoEngineInRegions, "no_engine_in_regions", http.StatusServiceUnavailable, NotRun, true, "No back end is in a region that the route and the tenant allow."},
	{BudgetUnsettled, "budget_unsettled", http.StatusServiceUnavailable, NotRun, true, "Nodes that do not answer hold what the call needs of the program's budget, and may yet give it back."},
	{AtCapacity, "at_capacity", http.StatusServiceUnavailable, NotRun, true, "Engines carry no more programs of this priority now; Retry-After says when to come back."},
	{RegionLinkFull, "region_link_full", http.StatusServiceUnavailable, NotRun, true, "Only other regions have back ends for the call, and what crosses to them has reached this node's part of the link."},
	{StreamVersionUnknown, "stream_version_unknown", http.StatusServiceUnavailable, NotRun, true, "The stream cannot go on, as it is not known which software version of the back end began it; it may be begun anew."},
	{StreamVersionGone, "stream_version_gone", http.StatusServiceUnavailable, NotRun, true, "The stream cannot go on, as no back end of the software version that began it can serve it; it may be begun anew."},
	{UnknownMessage, "unknown_message", http.StatusServiceUnavailable, NotRun, false, "The asked node's build does not know the message of another node; it did nothing."},
	{RequestEndsEngines, "request_ends_engines", http.StatusServiceUnavailable, NotRun, false, "Back ends ended one after another while they ran this request, so no other one gets it for now."},
	{RequestMemoryFull, "request_memory_full", http.StatusServiceUnavailable, NotRun, true, "The requests that this node holds leave no memory for this one, or its body arrived the slowest of them; Retry-After says when to come back."},
	{BackendFailed, "backend_failed", http.StatusBadGateway, Ran, false, "The back end ran the call and reported failure."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, Unknown, false, "The call may have run; its outcome cannot be established."},
	{Cancelled, "cancelled", http.StatusConflict, Unknown, false, "The call was cut off after it was dispatched."},
	{Internal, "internal", http.StatusInternalServerError, Unknown, true, "A fault of the system; the log has it under the same code."},
}

var codeIndex = func() map[Code]CodeInfo {
	index := make(map[Code]CodeInfo, len(codeTable))
	for _, info := range codeTable {
		index[info.Code] = info
	}
	return index
}()

// Codes returns every result code in ascending order.
func Codes() []CodeInfo {
	return append([]CodeInfo(nil), codeTable...)
}

// Info returns the code's row of the table; an undefined code returns that of Internal.
func (c Code) Info() CodeInfo {
	if info, ok := codeIndex[c]; ok {
		return info
	}
	return codeIndex[Internal]
}

// IsDefined reports whether the table contains the code.
func (c Code) IsDefined() bool {
	_, ok := codeIndex[c]
	return ok
}

// String returns the code's name.
func (c Code) String() string { return c.Info().Name }

// Error is a rejection or failure with its code. Execution may be more specific than the code's default one;
// RetryAfter is zero if a retry cannot succeed.
type Error struct {
	Code       Code
	Detail     string
	Execution  Execution
	RetryAfter time.Duration
}

// Errorf returns an Error with the code's default execution.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...), Execution: code.Info().Execution}
}

// WithRetryAfter returns a copy with the delay after which the caller should retry.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	copied := *e
	copied.RetryAfter = delay
	return &copied
}

// FirstAttemptHeader is the request header by which a caller states, with the value "true", that it has never sent
// this call before.
const FirstAttemptHeader = "Pewtermill-First-Attempt"

// ForCaller returns the error for the caller: NotRunThisAttempt is replaced by NotRun or Unknown.
func (e *Error) ForCaller(firstAttempt bool) *Error {
	if e.Execution != NotRunThisAttempt {
		return e
	}
	forCaller := *e
	forCaller.Execution = Unknown
	if firstAttempt {
		forCaller.Execution = NotRun
	}
	return &forCaller
}

// ForThisAttempt returns a copy whose execution applies to this attempt only; see NotRunThisAttempt.
func (e *Error) ForThisAttempt() *Error {
	copied := *e
	copied.Execution = NotRunThisAttempt
	return &copied
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s (%d): %s", e.Code, int(e.Code), e.Detail) }

// Problem is the RFC 9457 body of every response that is not 2xx.
type Problem struct {
	Type              string    `json:"type"`
	Title             string    `json:"title"`
	Status            int       `json:"status"`
	Detail            string    `json:"detail,omitempty"`
	Code              Code      `json:"code"`
	Execution         Execution `json:"execution"`
	RetryAfterSeconds float64   `json:"retry_after_seconds,omitempty"`
}

// Problem returns the error as its RFC 9457 body.
func (e *Error) Problem() Problem {
	info := e.Code.Info()
	return Problem{
		Type:              "urn:pewtermill:code:" + info.Name,
		Title:             info.Meaning,
		Status:            info.HTTPStatus,
		Detail:            e.Detail,
		Code:              e.Code,
		Execution:         e.Execution,
		RetryAfterSeconds: e.RetryAfter.Seconds(),
	}
}
