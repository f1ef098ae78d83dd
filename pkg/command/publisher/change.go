package publisher

import (
	"strconv"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

// apply returns the whole set that a change asks for, and its faults.
func (c Change) apply(before declarer.Document) (declarer.Document, []checker.Fault) {
	set := c.Document.Set()
	if !c.Prune {
		set = before.Set().WithAll(set)
	}
	var faults []checker.Fault
	for _, twice := range c.Document.Repeated() {
		faults = append(faults, fault(twice, "Name", twice.Name, "an object is declared once"))
	}
	set, missing := c.remove(set)
	faults = append(faults, missing...)
	set, missing = c.withdraw(set)
	faults = append(faults, missing...)
	faults = append(faults, checker.Check(set)...)
	return set.Document(), faults
}

func (c Change) remove(set declarer.Set) (declarer.Set, []checker.Fault) {
	var faults []checker.Fault
	for _, reference := range c.Remove {
		found := false
		set, found = set.Without(reference.Kind, reference.Name)
		if !found {
			faults = append(faults, fault(reference, "Name", reference.Name, "an object that is declared"))
		}
	}
	return set, faults
}

func (c Change) withdraw(set declarer.Set) (declarer.Set, []checker.Fault) {
	var faults []checker.Fault
	for _, name := range c.Withdraw {
		key, found := set.Keys.Get(name)
		if !found {
			reference := declarer.Reference{
				Kind: declarer.KindKey,
				Name: name,
			}
			faults = append(faults, fault(reference, "Name", name, "a key that is declared"))
			continue
		}
		set = set.WithKey(key.WithWithdrawn())
	}
	return set, faults
}

func staleRevision(asked, found uint64) error {
	return &Refused{
		Faults: []checker.Fault{
			{
				Object: "Change",
				Field:  "IfRevision",
				Value:  strconv.FormatUint(asked, 10),
				Rule:   "the revision in force, which is " + strconv.FormatUint(found, 10),
			},
		},
	}
}

func fault(reference declarer.Reference, field, value, rule string) checker.Fault {
	return checker.Fault{
		Object: reference.String(),
		Field:  field,
		Value:  value,
		Rule:   rule,
	}
}
