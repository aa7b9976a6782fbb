package callers

import "net/http"

// keepAliveWriter announces the keep-alive timeout in an answer's header. The timeout is determined when
// the header is written: a request that arrived before a planned stop may be answered during it.
type keepAliveWriter struct {
	http.ResponseWriter
	announce  func()
	announced bool
}

// WriteHeader implements http.ResponseWriter.
func (w *keepAliveWriter) WriteHeader(status int) {
	w.announceOnce()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *keepAliveWriter) Write(content []byte) (int, error) {
	w.announceOnce()
	return w.ResponseWriter.Write(content)
}

// Flush implements http.Flusher.
func (w *keepAliveWriter) Flush() {
	w.announceOnce()
	_ = http.NewResponseController(w.ResponseWriter).Flush() // a disconnected client shows at the next write
}

// FlushError is for http.ResponseController.
func (w *keepAliveWriter) FlushError() error {
	w.announceOnce()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is for http.ResponseController.
func (w *keepAliveWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *keepAliveWriter) announceOnce() {
	if !w.announced {
		w.announced = true
		w.announce()
	}
}
