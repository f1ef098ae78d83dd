// Package checker validates a whole set of declared objects before any of it is
// published: the range of each field, and that the objects that a field names are
// declared too. It does not check what only the running system shows, such as whether an
// upstream answers. It is not called for a declaration that the platform itself keeps.
package checker

import (
	"fmt"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// Fault is one field value of a declared object that breaks a rule.
type Fault struct {
	// Object identifies the object at fault, as "Kind Name".
	Object string
	// Field is the path of the field, in Pascal case.
	Field string
	// Value is the invalid value.
	Value string
	// Rule describes the values that the field accepts.
	Rule string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s = %q: %s", f.Object, f.Field, f.Value, f.Rule)
}

// Check returns all faults of a set, ordered by the kind of the object, as in
// declarer.Kinds, and within a kind by its name. A set without faults may be published.
func Check(set declarer.Set) []Fault {
	check := &setCheck{
		set: set,
	}
	check.checkPlaces()
	check.checkServices()
	check.checkTeams()
	check.checkKeys()
	check.checkVersions()
	check.checkMoves()
	check.checkRoutes()
	return check.faults
}

// CheckDocument returns all faults of a document. Unlike Check it also reports objects
// that are declared more than once, which a set cannot contain.
func CheckDocument(document declarer.Document) []Fault {
	var faults []Fault
	for _, repeated := range document.Duplicates() {
		faults = append(faults, Fault{
			Object: repeated.String(),
			Field:  "Name",
			Value:  repeated.Name,
			Rule:   "a name that no other " + string(repeated.Kind) + " of the document has",
		})
	}
	return append(faults, Check(document.Set())...)
}

// setCheck is one check of a set and the faults found so far.
type setCheck struct {
	set    declarer.Set
	faults []Fault
}

// objectCheck collects the faults of one object.
type objectCheck struct {
	parent *setCheck
	name   string
}

// checkObject checks the name of an object and returns the check of its other fields.
func (s *setCheck) checkObject(kind declarer.Kind, name string) objectCheck {
	reference := declarer.Reference{
		Kind: kind,
		Name: name,
	}
	check := objectCheck{
		parent: s,
		name:   reference.String(),
	}
	check.require(validName(name), "Name", name, nameRule)
	return check
}

// require adds a fault of a field unless ok is true.
func (o objectCheck) require(ok bool, field string, value any, rule string) {
	if ok {
		return
	}
	o.parent.faults = append(o.parent.faults, Fault{
		Object: o.name,
		Field:  field,
		Value:  fmt.Sprint(value),
		Rule:   rule,
	})
}

// nameRule is the text of the rule that validName checks.
const nameRule = "1 to 63 characters of a-z, 0-9, '-' and '.', that starts and ends with a letter or digit"

// maxNameLength is the length of the longest valid name, in bytes.
const maxNameLength = 63

func validName(name string) bool {
	if len(name) == 0 || len(name) > maxNameLength {
		return false
	}
	for i := range len(name) {
		if !validNameByte(name[i], i == 0 || i == len(name)-1) {
			return false
		}
	}
	return true
}

// validNameByte reports whether a name may contain a byte. edge says that the byte is the
// first or the last one of the name.
func validNameByte(c byte, edge bool) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		return true
	case c == '-', c == '.':
		return !edge
	default:
		return false
	}
}
