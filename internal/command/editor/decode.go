package editor

import (
	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

// changeOf returns the change that consists of the given edits, and the faults of
// those that cannot be decoded.
func changeOf(edits []edit) (publisher.Change, []checker.Fault) {
	change := publisher.Change{
		By: "platform",
	}
	var faults []checker.Fault
	for _, edit := range edits {
		if edit.spec.Revision == 0 {
			change.Remove = append(change.Remove, edit.reference)
			continue
		}
		document, fault := decode(edit)
		if fault != nil {
			faults = append(faults, *fault)
			continue
		}
		change.Document = change.Document.WithDocument(document)
	}
	return change, faults
}

// decode decodes an edited object. The object's name must be the one under which it
// is stored.
func decode(edit edit) (declarer.Document, *checker.Fault) {
	var document declarer.Document
	switch edit.reference.Kind {
	case declarer.KindPlace:
		return decodeAs(edit, &document.Place, &document)
	case declarer.KindService:
		return decodeAs(edit, &document.Service, &document)
	case declarer.KindTeam:
		return decodeAs(edit, &document.Team, &document)
	case declarer.KindKey:
		return decodeAs(edit, &document.Key, &document)
	case declarer.KindVersion:
		return decodeAs(edit, &document.Version, &document)
	case declarer.KindMove:
		return decodeAs(edit, &document.Move, &document)
	case declarer.KindRoute:
		return decodeAs(edit, &document.Route, &document)
	default:
		return document, newFault(edit, "Kind", string(edit.reference.Kind), "Place, Service, Team, Key, Version, Move or Route")
	}
}

// decodeAs decodes an object into the list of its kind in a document.
func decodeAs[T declarer.Named](edit edit, rows *[]T, document *declarer.Document) (declarer.Document, *checker.Fault) {
	object, err := encoder.JSON[T]{}.Decode(edit.spec.Value)
	if err != nil {
		return *document, newFault(edit, "Value", "", "JSON of a "+string(edit.reference.Kind)+": "+err.Error())
	}
	if name := object.ObjectName(); name != edit.reference.Name {
		return *document, newFault(edit, "Name", name, "the name under which the object is stored")
	}
	*rows = []T{object}
	return *document, nil
}

func newFault(edit edit, field, value, rule string) *checker.Fault {
	return &checker.Fault{
		Object: edit.reference.String(),
		Field:  field,
		Value:  value,
		Rule:   rule,
	}
}
