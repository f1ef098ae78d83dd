package publisher

import (
	"strconv"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

// appliedTo returns the whole set that results from applying the change to a document,
// and its faults. It changes neither.
func (c Change) appliedTo(before declarer.Document) (declarer.Document, []checker.Fault) {
	set := c.Document.Set()
	if !c.Prune {
		set = before.Set().WithAll(set)
	}
	var faults []checker.Fault
	for _, repeated := range c.Document.Duplicates() {
		faults = append(faults, newFault(repeated, "Name", repeated.Name, "a name that no other "+string(repeated.Kind)+" of the document has"))
	}
	set, missing := c.withoutRemoved(set)
	faults = append(faults, missing...)
	set, missing = c.withWithdrawn(set)
	faults = append(faults, missing...)
	faults = append(faults, checker.Check(set)...)
	return set.Document(), faults
}

// withoutRemoved returns the set without the objects to remove, and a fault for each of
// them that is not declared.
func (c Change) withoutRemoved(set declarer.Set) (declarer.Set, []checker.Fault) {
	var faults []checker.Fault
	for _, reference := range c.Remove {
		found := false
		set, found = set.Without(reference.Kind, reference.Name)
		if !found {
			faults = append(faults, newFault(reference, "Name", reference.Name, "an object that is declared"))
		}
	}
	return set, faults
}

// withWithdrawn returns the set with the keys to withdraw marked so, and a fault for
// each of them that is not declared.
func (c Change) withWithdrawn(set declarer.Set) (declarer.Set, []checker.Fault) {
	var faults []checker.Fault
	for _, name := range c.Withdraw {
		key, found := set.Keys.Get(name)
		if !found {
			reference := declarer.Reference{
				Kind: declarer.KindKey,
				Name: name,
			}
			faults = append(faults, newFault(reference, "Name", name, "a key that is declared"))
			continue
		}
		set = set.WithKey(key.WithWithdrawn())
	}
	return set, faults
}

// revisionMismatch returns the error of a change whose IfRevision is not the published
// revision.
func revisionMismatch(requested, published uint64) error {
	return &RefusedError{
		Faults: []checker.Fault{
			{
				Object: "Change",
				Field:  "IfRevision",
				Value:  strconv.FormatUint(requested, 10),
				Rule:   "the published revision, which is " + strconv.FormatUint(published, 10),
			},
		},
	}
}

func newFault(reference declarer.Reference, field, value, rule string) checker.Fault {
	return checker.Fault{
		Object: reference.String(),
		Field:  field,
		Value:  value,
		Rule:   rule,
	}
}
