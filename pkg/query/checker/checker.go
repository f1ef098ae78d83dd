// Package checker checks a whole declared set before anything is published.
package checker

import (
	"fmt"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// Fault is one way in which a set does not fit.
type Fault struct {
	// Object names the object at fault, as "Kind Name".
	Object string
	// Field is the path of the field, in Pascal case.
	Field string
	// Value is the value found.
	Value string
	// Rule says what the value should be.
	Rule string
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s = %q: %s", f.Object, f.Field, f.Value, f.Rule)
}

// Check returns every fault of a set, in the order of kinds and names. A set
// without faults may be published.
func Check(set declarer.Set) []Fault {
	pass := &pass{
		set: set,
	}
	pass.places()
	pass.services()
	pass.teams()
	pass.keys()
	pass.versions()
	pass.moves()
	pass.hostRoutes()
	return pass.faults
}

// CheckDocument also finds objects that are declared twice.
func CheckDocument(document declarer.Document) []Fault {
	var faults []Fault
	for _, twice := range document.Repeated() {
		faults = append(faults, Fault{
			Object: twice.String(),
			Field:  "Name",
			Value:  twice.Name,
			Rule:   "an object is declared once",
		})
	}
	return append(faults, Check(document.Set())...)
}

// pass is one run over a set.
type pass struct {
	set    declarer.Set
	faults []Fault
}

// object reports faults of one object.
type object struct {
	pass *pass
	name string
}

func (p *pass) object(kind declarer.Kind, name string) object {
	reference := declarer.Reference{
		Kind: kind,
		Name: name,
	}
	found := object{
		pass: p,
		name: reference.String(),
	}
	found.require(validName(name), "Name", name, nameRule)
	return found
}

// require adds a fault unless ok.
func (o object) require(ok bool, field string, value any, rule string) {
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

// nameRule describes validName.
const nameRule = "1 to 63 characters of a-z, 0-9, '-' and '.', that starts and ends with a letter or digit"

// maxNameLength is the longest name, in bytes.
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
