// Package platformer is a fake platform for tests, local clusters and the command
// standin: the object API of the own platform over HTTP, with simulated faults, and a
// list of instances that may be outdated.
package platformer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hemlockport/hemlockport/internal/adapter"
	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// PathFaults replaces the simulated faults (PUT), as memstorer.Faults in JSON.
const PathFaults = "/faults"

// Server serves the object API from a store in memory.
type Server struct {
	store *memstorer.Store
	mux   *http.ServeMux
}

// New returns a server of the objects in a store.
func New(store *memstorer.Store) *Server {
	server := &Server{
		store: store,
		mux:   http.NewServeMux(),
	}
	server.mux.HandleFunc("GET "+adapter.PathObjects, server.list)
	server.mux.HandleFunc("GET "+adapter.PathObjects+"/{name...}", server.get)
	server.mux.HandleFunc("PUT "+adapter.PathObjects+"/{name...}", server.put)
	server.mux.HandleFunc("DELETE "+adapter.PathObjects+"/{name...}", server.remove)
	server.mux.HandleFunc("GET "+adapter.PathInstances, server.instances)
	server.mux.HandleFunc("PUT "+PathFaults, server.setFaults)
	return server
}

// ServeHTTP serves one call of the object API, or replaces the faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	object, err := s.store.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	setRevision(w, object.Revision)
	w.Write(object.Value)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if !query.Has(adapter.ParamAfter) {
		changes, err := s.store.List(r.Context(), query.Get(adapter.ParamPrefix))
		writeResult(w, changes, err)
		return
	}
	after, err := strconv.ParseUint(query.Get(adapter.ParamAfter), 10, 64)
	if err != nil {
		http.Error(w, "after: want a revision", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get(adapter.ParamWaitMillis))
	if err != nil || wait < 0 || wait > adapter.WatchMillis {
		http.Error(w, "waitMillis: want 0 to 20000", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	changes, err := s.store.Watch(ctx, query.Get(adapter.ParamPrefix), after)
	writeResult(w, changes, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	condition, valid := conditionOf(r.Header)
	if !valid {
		http.Error(w, "If-Match: want a quoted revision", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, storer.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	object, err := s.store.Put(r.Context(), r.PathValue("name"), value, condition)
	if err != nil {
		writeError(w, err)
		return
	}
	setRevision(w, object.Revision)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	condition, valid := conditionOf(r.Header)
	if !valid {
		http.Error(w, "If-Match: want a quoted revision", http.StatusBadRequest)
		return
	}
	if err := s.store.Delete(r.Context(), r.PathValue("name"), condition); err != nil {
		writeError(w, err)
	}
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	instances, err := s.store.Instances(r.Context())
	writeResult(w, instances, err)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, storer.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults, err := encoder.JSON[memstorer.Faults]{}.Decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.SetFaults(faults)
}

// conditionOf returns the condition that the headers If-Match and If-None-Match put on a
// write, and whether they are valid.
func conditionOf(header http.Header) (storer.Condition, bool) {
	if header.Get("If-None-Match") == "*" {
		return storer.Absent(), true
	}
	match := header.Get("If-Match")
	if match == "" {
		return storer.Always(), true
	}
	text, err := strconv.Unquote(match)
	if err != nil {
		return storer.Condition{}, false
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	return storer.AtRevision(revision), err == nil && revision > 0
}

func setRevision(w http.ResponseWriter, revision uint64) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(revision, 10)))
}

// writeResult writes a value as JSON, or the error if there is one.
func writeResult[T any](w http.ResponseWriter, value T, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	data, err := encoder.JSON[T]{}.Encode(value)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data)
}

// writeError writes the error of a call with the HTTP status that belongs to it.
func writeError(w http.ResponseWriter, err error) {
	if !storer.OutcomeKnown(err) {
		// The write took effect and its answer is to be lost, so the connection is
		// broken.
		panic(http.ErrAbortHandler)
	}
	http.Error(w, err.Error(), statusOf(err))
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, storer.ErrConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, storer.ErrCompacted):
		return http.StatusGone
	case errors.Is(err, storer.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}
