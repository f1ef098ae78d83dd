// Package responder is the operators' front end over HTTP. Commands are POST and
// queries GET; each is decoded, handed to its handler, and the answer encoded.
package responder

import (
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/internal/query/timeliner"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
	"github.com/hemlockport/hemlockport/pkg/query/merger"
)

// The paths of the operators' listener.
const (
	// PathHealth needs no key: the platform asks it.
	PathHealth   = "/health"
	PathChange   = "/change"
	PathObjects  = "/objects"
	PathStatus   = "/status"
	PathTimeLine = "/timeline"
	PathMetrics  = "/metrics"
)

// maxChangeBytes bounds a change, in bytes.
const maxChangeBytes = 16 << 20

// Health is what the platform is told.
type Health struct {
	Incarnation string
	Leaving     bool
}

// Fault is the body of every answer but success.
type Fault struct {
	// Error is one line for a person.
	Error string
	// Faults lists what does not fit, if that is why.
	Faults []checker.Fault `json:",omitempty"`
}

// Parts are the handlers that a responder serves.
type Parts struct {
	// KeyHash is the hash of the operators' key.
	KeyHash  declarer.KeyHash
	Health   handler.Query[reporter.Nothing, Health]
	Change   handler.Command[publisher.Change, publisher.Accepted]
	Objects  handler.Query[reporter.Selection, reporter.Objects]
	Status   handler.Query[reporter.Nothing, reporter.Status]
	TimeLine handler.Query[merger.Filter, timeliner.TimeLine]
	Registry metrics.Registry
}

// New returns the operators' front end.
func New(parts Parts) http.Handler {
	keyed := http.NewServeMux()
	keyed.Handle("POST "+PathChange, command(parts.Change))
	keyed.Handle("GET "+PathObjects, query(parts.Objects, decodeSelection))
	keyed.Handle("GET "+PathStatus, query(parts.Status, decodeNothing))
	keyed.Handle("GET "+PathTimeLine, query(parts.TimeLine, decodeFilter))
	keyed.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// An error here means that the collector has gone.
		_ = exporter.Write(w, parts.Registry)
	})
	mux := http.NewServeMux()
	mux.Handle("GET "+PathHealth, query(parts.Health, decodeNothing))
	mux.Handle("/", requireKey(parts.KeyHash, keyed))
	return mux
}

// requireKey serves only requests that show the operators' key.
func requireKey(hash declarer.KeyHash, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		key := strings.TrimPrefix(request.Header.Get("Authorization"), "Bearer ")
		shown := declarer.HashKey(key)
		if subtle.ConstantTimeCompare(shown[:], hash[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeFault(w, http.StatusUnauthorized, Fault{
				Error: "show the operators' key as Authorization: Bearer KEY",
			})
			return
		}
		next.ServeHTTP(w, request)
	})
}

// command serves a command whose encoding is JSON.
func command[C, R any](handle handler.Command[C, R]) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxChangeBytes))
		if err != nil {
			writeError(w, http.StatusRequestEntityTooLarge, err)
			return
		}
		decoded, err := encoder.JSON[C]{}.Decode(body)
		if err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		result, err := handle.Do(request.Context(), decoded)
		writeResult(w, result, err)
	})
}

// query serves a query whose parameters decode reads.
func query[Q, R any](handle handler.Query[Q, R], decode func(*http.Request) (Q, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		question, err := decode(request)
		if err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		result, err := handle.Ask(request.Context(), question)
		writeResult(w, result, err)
	})
}

func writeResult[R any](w http.ResponseWriter, result R, err error) {
	var refused *publisher.Refused
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, result)
	case errors.As(err, &refused):
		writeFault(w, http.StatusUnprocessableEntity, Fault{
			Error:  "refused; nothing has changed",
			Faults: refused.Faults,
		})
	case errors.Is(err, publisher.ErrRaced):
		writeError(w, http.StatusConflict, err)
	default:
		writeError(w, http.StatusServiceUnavailable, err)
	}
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeFault(w, status, Fault{
		Error: err.Error(),
	})
}

func writeFault(w http.ResponseWriter, status int, fault Fault) {
	writeJSON(w, status, fault)
}

func writeJSON[T any](w http.ResponseWriter, status int, value T) {
	data, err := encoder.JSON[T]{}.Encode(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
