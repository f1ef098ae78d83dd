// Package responder is the HTTP front end for operators. Commands use POST and queries
// GET. Each request is decoded and passed to its handler, and the result is encoded. The
// package decides only whether a request shows the operators' key; everything else is
// decided by the handlers.
package responder

import (
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/internal/query/previewer"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/internal/query/timeliner"
	"github.com/hemlockport/hemlockport/pkg/command/bounder"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
	"github.com/hemlockport/hemlockport/pkg/query/merger"
)

// The paths of the operators' listener.
const (
	// PathHealth needs no key, because the platform requests it.
	PathHealth   = "/health"
	PathChange   = "/change"
	PathObjects  = "/objects"
	PathStatus   = "/status"
	PathTimeline = "/timeline"
	PathRoute    = "/route"
	PathMetrics  = "/metrics"
)

// Health is the answer to a health check of the platform.
type Health struct {
	// Incarnation identifies the process.
	Incarnation string
	// Leaving says that the instance is draining.
	Leaving bool
}

// ErrorBody is the body of every answer that reports an error.
type ErrorBody struct {
	// Error is a description in one line, meant for people.
	Error string
	// Faults lists the faults that the checks found in a change, if they are why it
	// was refused.
	Faults []checker.Fault `json:",omitempty"`
}

// Options holds the handlers and the other dependencies of the front end.
type Options struct {
	// KeyHash is the hash of the operators' key, which all paths but PathHealth
	// require.
	KeyHash  declarer.KeyHash
	Health   handler.Query[reporter.Empty, Health]
	Change   handler.Command[publisher.Change, publisher.Accepted]
	Objects  handler.Query[reporter.Selection, reporter.Objects]
	Status   handler.Query[reporter.Empty, reporter.Status]
	Timeline handler.Query[merger.Filter, timeliner.Timeline]
	Route    handler.Query[previewer.Question, previewer.Answer]
	Registry metrics.Registry
	// Changes bounds what the bodies of commands hold together while they are executed; nil if
	// nothing does.
	Changes *bounder.Budget
	// OnRefused is called for each command that found no room.
	OnRefused func()
}

// New returns the HTTP handler of the operators' front end.
func New(options Options) http.Handler {
	protected := http.NewServeMux()
	protected.Handle("POST "+PathChange, commandHandler(options.Change, options.Changes, options.OnRefused))
	protected.Handle("GET "+PathObjects, queryHandler(options.Objects, decodeSelection))
	protected.Handle("GET "+PathStatus, queryHandler(options.Status, decodeEmpty))
	protected.Handle("GET "+PathTimeline, queryHandler(options.Timeline, decodeFilter))
	protected.Handle("GET "+PathRoute, RouteHandler(options.Route))
	protected.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// Write fails only if the client that collects the metrics has disconnected.
		_ = exporter.Write(w, options.Registry)
	})
	mux := http.NewServeMux()
	mux.Handle("GET "+PathHealth, queryHandler(options.Health, decodeEmpty))
	mux.Handle("/", requireKey(options.KeyHash, protected))
	return mux
}

// RouteHandler returns the handler of PathRoute, which says where a request would be sent.
func RouteHandler(query handler.Query[previewer.Question, previewer.Answer]) http.Handler {
	return queryHandler(query, decodeQuestion)
}

// requireKey passes a request on to next only if it shows the operators' key.
func requireKey(hash declarer.KeyHash, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		key := strings.TrimPrefix(request.Header.Get("Authorization"), "Bearer ")
		presented := declarer.HashKey(key)
		if subtle.ConstantTimeCompare(presented[:], hash[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeErrorBody(w, http.StatusUnauthorized, ErrorBody{
				Error: "show the operators' key as Authorization: Bearer KEY",
			})
			return
		}
		next.ServeHTTP(w, request)
	})
}

// queryHandler executes a query, whose parameters decode reads from the request.
func queryHandler[Q, R any](handle handler.Query[Q, R], decode func(*http.Request) (Q, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		decoded, err := decode(request)
		if err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		result, err := handle.Ask(request.Context(), decoded)
		writeResult(w, result, err)
	})
}

// writeResult writes the result of a handler, or the error with the status that its kind
// calls for.
func writeResult[R any](w http.ResponseWriter, result R, err error) {
	var refused *publisher.RefusedError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, result)
	case errors.Is(err, publisher.ErrInDoubt):
		// Comes first, as the change may be in force although a later attempt was refused.
		writeError(w, http.StatusBadGateway, err)
	case errors.As(err, &refused):
		writeErrorBody(w, http.StatusUnprocessableEntity, ErrorBody{
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
	writeErrorBody(w, status, ErrorBody{
		Error: err.Error(),
	})
}

func writeErrorBody(w http.ResponseWriter, status int, body ErrorBody) {
	writeJSON(w, status, body)
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
