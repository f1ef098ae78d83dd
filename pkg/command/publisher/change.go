package publisher

import (
	"strconv"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

// apply returns the whole set that results from a change to a document, and its faults.
func (c Change) apply(before declarer.Document) (declarer.Document, []checker.Fault) {
	set := c.Document.Set()
	if !c.Prune {
		set = before.Set().WithAll(set)
	}
	var faults []checker.Fault
	for _, repeated := range c.Document.Duplicates() {
		faults = append(faults, newFault(repeated, "Name", repeated.Name, "an object is declared once"))
	}
	set, missing := c.remove(set)
	faults = append(faults, missing...)
	set, missing = c.withdraw(set)
	faults = append(faults, missing...)
	faults = append(faults, checker.Check(set)...)
	return set.Document(), faults
}

// remove returns the set without the objects to remove, and a fault for each of them
// that is not declared.
func (c Change) remove(set declarer.Set) (declarer.Set, []checker.Fault) {
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

// withdraw returns the set with the keys to withdraw marked so, and a fault for each of
// them that is not declared.
func (c Change) withdraw(set declarer.Set) (declarer.Set, []checker.Fault) {
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

// revisionMismatch returns the error of a change whose IfRevision is not in force.
func revisionMismatch(requested, inForce uint64) error {
	return &RefusedError{
		Faults: []checker.Fault{
			{
				Object: "Change",
				Field:  "IfRevision",
				Value:  strconv.FormatUint(requested, 10),
				Rule:   "the revision in force, which is " + strconv.FormatUint(inForce, 10),
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
