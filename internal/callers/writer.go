package callers

import "net/http"

// promisingWriter has an answer's head say for how long its connection may rest. That is decided when the
// head is written: a request that came before a planned stop may be answered during it.
type promisingWriter struct {
	http.ResponseWriter
	promise  func()
	promised bool
}

// WriteHeader implements http.ResponseWriter.
func (w *promisingWriter) WriteHeader(status int) {
	w.promiseOnce()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *promisingWriter) Write(content []byte) (int, error) {
	w.promiseOnce()
	return w.ResponseWriter.Write(content)
}

// Flush implements http.Flusher.
func (w *promisingWriter) Flush() {
	w.promiseOnce()
	_ = http.NewResponseController(w.ResponseWriter).Flush() // a caller that left shows at the next write
}

// FlushError is for http.ResponseController.
func (w *promisingWriter) FlushError() error {
	w.promiseOnce()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is for http.ResponseController.
func (w *promisingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *promisingWriter) promiseOnce() {
	if !w.promised {
		w.promised = true
		w.promise()
	}
}
