package operator

import (
	"log/slog"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/httpapi"
)

// endpoint serves one request. It returns an error only if it has not written
// a response.
type endpoint func(writer http.ResponseWriter, request *http.Request) error

// handle wraps an endpoint with panic recovery, problem responses and logging of problems.
func (h *handler) handle(serve endpoint) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		started := time.Now()
		err := h.recovered(serve, writer, request)
		if err == nil {
			return
		}
		problem := httpapi.Classify(err)
		httpapi.WriteProblem(writer, problem)
		h.logProblem(request, problem, err, time.Since(started))
	})
}

func (h *handler) logProblem(request *http.Request, problem *api.Error, err error, elapsed time.Duration) {
	level := slog.LevelInfo
	if problem.Code == api.Internal {
		level = slog.LevelError
	}
	h.logger.LogAttrs(request.Context(), level, "operator request",
		slog.String("method", request.Method),
		slog.String("path", request.URL.Path),
		slog.Int("code", int(problem.Code)),
		slog.String("code_name", problem.Code.String()),
		slog.Duration("duration", elapsed),
		slog.String("error", err.Error()))
}

// recovered converts a panic of the endpoint to an Internal error and logs it.
func (h *handler) recovered(serve endpoint, writer http.ResponseWriter, request *http.Request) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause == http.ErrAbortHandler {
			panic(cause)
		}
		h.logger.Error("panic while serving an operator",
			slog.String("path", request.URL.Path),
			slog.Any("panic", cause),
			slog.String("stack", string(debug.Stack())))
		err = api.Errorf(api.Internal, "unexpected fault")
	}()
	return serve(writer, request)
}

// authenticated accepts only requests with an operator's key.
func (h *handler) authenticated(serve endpoint) endpoint {
	return func(writer http.ResponseWriter, request *http.Request) error {
		snapshot := h.activeBundle()
		if snapshot == nil {
			return api.Errorf(api.NotReady, "no bundle is in force").WithRetryAfter(notReadyDelay)
		}
		if problem := httpapi.CheckHeaders(request, httpapi.DefaultMaxHeaderBytes); problem != nil {
			return problem
		}
		key, present := httpapi.BearerKey(request)
		if !present {
			return api.Errorf(api.Unauthenticated, "")
		}
		if _, isOperator := snapshot.OperatorByKey(key); !isOperator {
			return api.Errorf(api.OperatorForbidden, "")
		}
		return serve(writer, request)
	}
}

// authenticatedOnceConfigured accepts requests without a key while this node has no
// active bundle, since it has no keys yet. The service still requires the bundle's
// sign-offs, and rejects the bundle if another one was activated elsewhere.
func (h *handler) authenticatedOnceConfigured(serve endpoint) endpoint {
	authenticated := h.authenticated(serve)
	return func(writer http.ResponseWriter, request *http.Request) error {
		if h.activeBundle() == nil {
			return serve(writer, request)
		}
		return authenticated(writer, request)
	}
}

func (h *handler) status(writer http.ResponseWriter, request *http.Request) error {
	httpapi.WriteJSON(writer, http.StatusOK, h.service.Status(request.Context()))
	return nil
}

func (h *handler) programs(writer http.ResponseWriter, request *http.Request) error {
	programs, err := h.service.Programs(request.Context(), request.URL.Query().Get("tenant"))
	if err != nil {
		return err
	}
	if programs == nil {
		programs = []api.Program{}
	}
	httpapi.WriteJSON(writer, http.StatusOK, programs)
	return nil
}

func (h *handler) explain(writer http.ResponseWriter, request *http.Request) error {
	program, problem := programFilter(request)
	if problem != nil {
		return problem
	}
	sequence, problem := sequenceFilter(request)
	if problem != nil {
		return problem
	}
	decisions, err := h.service.Explain(request.Context(), program, sequence)
	if err != nil {
		return err
	}
	if decisions == nil {
		decisions = []explain.Decision{}
	}
	httpapi.WriteJSON(writer, http.StatusOK, decisions)
	return nil
}

func (h *handler) bundle(writer http.ResponseWriter, _ *http.Request) error {
	snapshot := h.activeBundle()
	httpapi.WriteJSON(writer, http.StatusOK, snapshot.Signed)
	return nil
}

func (h *handler) submitBundle(writer http.ResponseWriter, request *http.Request) error {
	held, body, problem := httpapi.ReadBody(writer, request, httpapi.BodyLimits{Bytes: maxBundleBytes, Timeout: httpapi.DefaultBodyTimeout, Memory: h.memory})
	if problem != nil {
		return problem
	}
	defer held.Release()
	var signed bundle.Signed
	if problem := api.DecodeStrict(body, &signed); problem != nil {
		return problem
	}
	if len(signed.Source) == 0 {
		return api.Errorf(api.MalformedRequest, "source is empty")
	}
	result, err := h.service.SubmitBundle(request.Context(), signed)
	if err != nil {
		return err
	}
	httpapi.WriteJSON(writer, http.StatusOK, result)
	return nil
}

func (h *handler) bundleStatus(writer http.ResponseWriter, request *http.Request) error {
	status, err := h.service.BundleStatus(request.Context())
	if err != nil {
		return err
	}
	if status.Members == nil {
		status.Members = []MemberBundle{}
	}
	httpapi.WriteJSON(writer, http.StatusOK, status)
	return nil
}

// watch streams decisions until the operator disconnects or the node stops.
func (h *handler) watch(writer http.ResponseWriter, request *http.Request) error {
	program, problem := programFilter(request)
	if problem != nil {
		return problem
	}
	decisions, unsubscribe := h.service.Watch()
	defer unsubscribe()
	events := httpapi.NewEventWriter(writer)
	if err := events.Start(); err != nil {
		return nil // the operator has disconnected
	}
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		var err error
		select {
		case <-request.Context().Done():
			return nil
		case <-keepAlive.C:
			err = events.KeepAlive()
		case decision, open := <-decisions:
			if !open {
				return nil
			}
			if matches(decision, program) {
				err = events.Send(eventDecision, decision)
			}
		}
		if err != nil {
			return nil // the operator has disconnected
		}
	}
}

// matches reports whether a decision is about the program or one of its
// sub-agents; an empty program matches all.
func matches(decision explain.Decision, program string) bool {
	return program == "" || decision.Program == program ||
		strings.HasPrefix(decision.Program, program+".")
}

func (h *handler) live(writer http.ResponseWriter, _ *http.Request) error {
	writer.WriteHeader(http.StatusOK)
	return nil
}

func (h *handler) ready(writer http.ResponseWriter, _ *http.Request) error {
	if !h.service.Ready() {
		return api.Errorf(api.NotReady, "").WithRetryAfter(notReadyDelay)
	}
	writer.WriteHeader(http.StatusOK)
	return nil
}

func programFilter(request *http.Request) (string, *api.Error) {
	program := request.URL.Query().Get("program")
	if program != "" && !api.ValidProgramID(program) {
		return "", api.Errorf(api.MalformedRequest, "program is not a program's id")
	}
	return program, nil
}

func sequenceFilter(request *http.Request) (int64, *api.Error) {
	text := request.URL.Query().Get("sequence")
	if text == "" {
		return 0, nil
	}
	sequence, err := strconv.ParseInt(text, 10, 64)
	if err != nil || sequence < 1 {
		return 0, api.Errorf(api.MalformedRequest, "sequence must be a decimal number from 1 on")
	}
	return sequence, nil
}
