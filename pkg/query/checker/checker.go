// Package checker validates a whole declared configuration before any of it is published.
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

// Check returns all faults of a set, ordered by kind and name of the objects. A set
// without faults may be published.
func Check(set declarer.Set) []Fault {
	pass := &pass{
		set: set,
	}
	pass.checkPlaces()
	pass.checkServices()
	pass.checkTeams()
	pass.checkKeys()
	pass.checkVersions()
	pass.checkMoves()
	pass.checkRoutes()
	return pass.faults
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
			Rule:   "an object is declared once",
		})
	}
	return append(faults, Check(document.Set())...)
}

// pass is one check of a set and the faults found so far.
type pass struct {
	set    declarer.Set
	faults []Fault
}

// objectCheck collects the faults of one object.
type objectCheck struct {
	pass *pass
	name string
}

// checkObject checks the name of an object and returns the check of its other fields.
func (p *pass) checkObject(kind declarer.Kind, name string) objectCheck {
	reference := declarer.Reference{
		Kind: kind,
		Name: name,
	}
	check := objectCheck{
		pass: p,
		name: reference.String(),
	}
	check.require(validName(name), "Name", name, nameRule)
	return check
}

// require adds a fault of a field unless ok is true.
func (o objectCheck) require(ok bool, field string, value any, rule string) {
	if ok {
		return
	}
	o.pass.faults = append(o.pass.faults, Fault{
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
