// Package reporter holds the answers to operators' queries about one instance, and the
// query for the objects in force. The instance fills in its own status.
package reporter

import (
	"context"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// Empty is the parameter of queries that take none.
type Empty struct{}

// Status is what an instance knows about itself, its peers and the upstreams.
type Status struct {
	Name        string
	Incarnation string
	Place       string
	// Seat is the number of the seat that the instance holds; -1 if it holds none. A seat
	// is the right to one part of every limit, held by one incarnation.
	Seat int
	// Leaving reports whether the instance has begun to drain.
	Leaving bool
	// Revision is that of the configuration in force at the instance; 0 before the first.
	Revision uint64
	// InForceSince is the time at which this configuration came into force.
	InForceSince time.Time
	// StoreLostSince is the time since which the store has not answered; zero if it
	// answers.
	StoreLostSince time.Time `json:",omitzero"`
	// ConfirmedAt is the time at which the configuration was last confirmed to be the
	// newest.
	ConfirmedAt time.Time
	// InFlight is the number of requests that the instance is serving.
	InFlight  int
	Peers     []PeerStatus
	Upstreams []UpstreamStatus
}

// PeerStatus is what an instance knows about another instance.
type PeerStatus struct {
	Name          string
	Place         string
	CallerAddress string
	// Linked reports whether the peer is linked to the instance. A link is closed after a
	// few seconds without a heartbeat.
	Linked   bool
	Leaving  bool
	Revision uint64
	// ConfirmedAt has the same meaning as in Status; zero if the peer is not linked.
	ConfirmedAt time.Time `json:",omitzero"`
}

// UpstreamStatus is what an instance knows about an upstream.
type UpstreamStatus struct {
	Name    string
	Place   string
	Address string
	Health  string
	// InUse is how many of the upstream's Slots this instance uses.
	InUse int
	Slots int
}

// Selection selects objects. Its zero value selects all objects.
type Selection struct {
	// Kind, if not empty, selects only objects of this kind.
	Kind declarer.Kind
	// Name, if not empty, selects only objects of this name.
	Name string
}

// Objects holds the selected objects of the configuration in force, and its revision.
type Objects struct {
	Revision uint64
	Document declarer.Document
}

// Source provides the configuration in force.
type Source interface {
	Bundle() publisher.Bundle
}

// ObjectReader is the query for objects.
type ObjectReader struct {
	source Source
}

// NewObjectReader returns a query that reads from a source.
func NewObjectReader(source Source) ObjectReader {
	return ObjectReader{
		source: source,
	}
}

// Ask returns the selected objects.
func (r ObjectReader) Ask(_ context.Context, selection Selection) (Objects, error) {
	bundle := r.source.Bundle()
	return Objects{
		Revision: bundle.Head.Revision,
		Document: selection.filter(bundle.Document),
	}, nil
}

// filter returns the selected objects of a document.
func (s Selection) filter(document declarer.Document) declarer.Document {
	return declarer.Document{
		Place:   filterObjects(s, declarer.KindPlace, document.Place),
		Service: filterObjects(s, declarer.KindService, document.Service),
		Team:    filterObjects(s, declarer.KindTeam, document.Team),
		Key:     filterObjects(s, declarer.KindKey, document.Key),
		Version: filterObjects(s, declarer.KindVersion, document.Version),
		Move:    filterObjects(s, declarer.KindMove, document.Move),
		Route:   filterObjects(s, declarer.KindRoute, document.Route),
	}
}

// filterObjects returns the selected objects among those of one kind.
func filterObjects[T declarer.Named](selection Selection, kind declarer.Kind, objects []T) []T {
	if selection.Kind != "" && selection.Kind != kind {
		return nil
	}
	var selected []T
	for _, object := range objects {
		if selection.Name == "" || selection.Name == object.ObjectName() {
			selected = append(selected, object)
		}
	}
	return selected
}
