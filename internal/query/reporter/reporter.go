// Package reporter reads what one instance knows, for operators.
package reporter

import (
	"context"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// Nothing is a question without parameters.
type Nothing struct{}

// Status is what an instance knows of itself and its peers.
type Status struct {
	Name        string
	Incarnation string
	Place       string
	// Seat is the number of the seat held; -1 without one.
	Seat int
	// Leaving says that the instance has begun its stop.
	Leaving bool
	// Revision is the configuration in force here; 0 before the first.
	Revision uint64
	// InForceSince is the instant from which it is.
	InForceSince time.Time
	// StoreLostSince is the instant from which the platform has not answered, or
	// the zero time.
	StoreLostSince time.Time `json:",omitzero"`
	// ConfirmedAt is the instant at which the configuration was last confirmed to be
	// the newest.
	ConfirmedAt time.Time
	// InFlight is how many requests are being served.
	InFlight  int
	Peers     []PeerStatus
	Upstreams []UpstreamStatus
}

// PeerStatus is what an instance knows of another.
type PeerStatus struct {
	Name          string
	Place         string
	CallerAddress string
	// Linked says that the peer has been heard of within seconds.
	Linked   bool
	Leaving  bool
	Revision uint64
	// ConfirmedAt is as in Status; zero for a peer that is not linked.
	ConfirmedAt time.Time `json:",omitzero"`
}

// UpstreamStatus is what an instance knows of an upstream.
type UpstreamStatus struct {
	Name    string
	Place   string
	Address string
	Health  string
	// InUse of Slots are taken by this instance.
	InUse int
	Slots int
}

// Selection names the objects asked for. Its zero value names all.
type Selection struct {
	// Kind takes only objects of one kind, unless empty.
	Kind declarer.Kind
	// Name takes only the object of that name, unless empty.
	Name string
}

// Objects is the configuration in force, as far as it was asked for.
type Objects struct {
	Revision uint64
	Document declarer.Document
}

// Source holds the configuration in force.
type Source interface {
	Bundle() publisher.Bundle
}

// ObjectReader is the query for objects.
type ObjectReader struct {
	source Source
}

// NewObjectReader returns a query over a source.
func NewObjectReader(source Source) ObjectReader {
	return ObjectReader{
		source: source,
	}
}

// Ask returns the objects that a selection names.
func (r ObjectReader) Ask(_ context.Context, selection Selection) (Objects, error) {
	bundle := r.source.Bundle()
	return Objects{
		Revision: bundle.Head.Revision,
		Document: selection.of(bundle.Document),
	}, nil
}

func (s Selection) of(document declarer.Document) declarer.Document {
	return declarer.Document{
		Place:   choose(s, declarer.KindPlace, document.Place),
		Service: choose(s, declarer.KindService, document.Service),
		Team:    choose(s, declarer.KindTeam, document.Team),
		Key:     choose(s, declarer.KindKey, document.Key),
		Version: choose(s, declarer.KindVersion, document.Version),
		Move:    choose(s, declarer.KindMove, document.Move),
		Route:   choose(s, declarer.KindRoute, document.Route),
	}
}

func choose[T declarer.Named](selection Selection, kind declarer.Kind, rows []T) []T {
	if selection.Kind != "" && selection.Kind != kind {
		return nil
	}
	var chosen []T
	for _, row := range rows {
		if selection.Name == "" || selection.Name == row.ObjectName() {
			chosen = append(chosen, row)
		}
	}
	return chosen
}
