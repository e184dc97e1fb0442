package drain

import (
	"net/http"
	"sync/atomic"
)

// AnswerWriter writes an answer. If the server is leaving when the answer begins,
// the connection is closed after it.
type AnswerWriter struct {
	http.ResponseWriter
	leaving *atomic.Bool
	// begun is set once the status and headers were written.
	begun bool
}

// NewAnswerWriter returns a writer of an answer to w. leaving is set once the server is
// leaving.
func NewAnswerWriter(w http.ResponseWriter, leaving *atomic.Bool) *AnswerWriter {
	return &AnswerWriter{ResponseWriter: w, leaving: leaving}
}

// Begun reports whether the status and headers were written.
func (w *AnswerWriter) Begun() bool { return w.begun }

// WriteHeader writes the status and headers.
func (w *AnswerWriter) WriteHeader(status int) {
	if w.leaving.Load() && !w.begun {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
	w.begun = true
}

func (w *AnswerWriter) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer that http.ResponseController uses.
func (w *AnswerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
