package mover

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/storer"
)

// VersionID identifies a version of a service.
type VersionID struct {
	Service string
	Version string
}

// Verdict is how the latest move to a version has ended. It belongs to the version and outlives
// the move's order.
type Verdict struct {
	VersionID
	// State is the state in which the move ended. It is Running if the order was replaced or
	// removed before the move had ended, as far as the instance knows that has made the verdict.
	State State
	// At is the latest position of the store at which the move was known to be ordered.
	At storer.Position
}

// Withheld reports that the version must get no requests but those of another move to it.
func (v Verdict) Withheld() bool {
	return v.State != Done
}

// replaces reports whether the verdict counts instead of another one on the same version. A move
// that has ended for other instances may seem to be running to one that learns of its end
// late, so a verdict without an end replaces none. Of two others the later one counts.
func (v Verdict) replaces(known Verdict) bool {
	switch {
	case v.State == Running:
		return known.State == Running && v.At.IsAfter(known.At)
	case known.State == Running:
		return true
	default:
		order := v.At.Compare(known.At)
		return order > 0 || order == 0 && v.Withheld()
	}
}

// verdictRetention is how long a verdict is kept after the last upstream of its version has left
// the list. Entries may be missing for some seconds after an outage of the platform, and peers
// learn of changes of the list at different times.
const verdictRetention = time.Minute

// Verdicts holds the verdicts on versions that have registered upstreams. It is immutable; the
// zero value is empty.
type Verdicts struct {
	// entries are sorted by service and version.
	entries []retainedVerdict
}

// retainedVerdict is a verdict and when its version last had a registered upstream.
type retainedVerdict struct {
	Verdict
	seenAt time.Time
}

// All returns the verdicts in the order of services and versions.
func (v Verdicts) All() []Verdict {
	all := make([]Verdict, 0, len(v.entries))
	for _, entry := range v.entries {
		all = append(all, entry.Verdict)
	}
	return all
}

// Withholds reports whether a version must get no requests.
func (v Verdicts) Withholds(id VersionID) bool {
	at, found := v.find(id)
	return found && v.entries[at].Withheld()
}

// Of returns the verdict on a version, or false if there is none.
func (v Verdicts) Of(id VersionID) (Verdict, bool) {
	at, found := v.find(id)
	if !found {
		return Verdict{}, false
	}
	return v.entries[at].Verdict, true
}

// With returns the verdicts with another one, if it replaces the known one on its version.
func (v Verdicts) With(verdict Verdict, now time.Time) Verdicts {
	entry := retainedVerdict{
		Verdict: verdict,
		seenAt:  now,
	}
	at, found := v.find(verdict.VersionID)
	switch {
	case !found:
		v.entries = slices.Insert(slices.Clone(v.entries), at, entry)
	case verdict.replaces(v.entries[at].Verdict):
		v.entries = slices.Clone(v.entries)
		v.entries[at] = entry
	}
	return v
}

// WithRegistered returns the verdicts without those on versions that have had no registered
// upstream for verdictRetention.
func (v Verdicts) WithRegistered(registered map[VersionID]bool, now time.Time) Verdicts {
	kept := make([]retainedVerdict, 0, len(v.entries))
	for _, entry := range v.entries {
		if registered[entry.VersionID] {
			entry.seenAt = now
		}
		if now.Sub(entry.seenAt) < verdictRetention {
			kept = append(kept, entry)
		}
	}
	v.entries = kept
	return v
}

// Lasting returns those verdicts on a service's versions that have to outlive the instances: on
// versions that have registered upstreams, and those that are stored and have not been dropped
// since. A verdict on a version whose upstreams have left is not stored again after another
// instance has dropped it.
func (v Verdicts) Lasting(service string, registered map[VersionID]bool, stored []Verdict) []Verdict {
	var lasting []Verdict
	for _, entry := range v.entries {
		if entry.Service != service {
			continue
		}
		if registered[entry.VersionID] || containsVersion(stored, entry.VersionID) {
			lasting = append(lasting, entry.Verdict)
		}
	}
	return lasting
}

// containsVersion reports whether there is a verdict on a version.
func containsVersion(verdicts []Verdict, id VersionID) bool {
	return slices.ContainsFunc(verdicts, func(verdict Verdict) bool { return verdict.VersionID == id })
}

// SameStates reports whether two lists, both in the order of the versions, judge the same versions
// and in the same way.
func SameStates(a, b []Verdict) bool {
	return slices.EqualFunc(a, b, func(x, y Verdict) bool {
		return x.VersionID == y.VersionID && x.State == y.State
	})
}

// EndsOrder reports whether the verdict is on an order that the store has at a position, last
// written at a revision of the same era: the move has ended for an instance that already knew that order.
func (v Verdict) EndsOrder(revision uint64, position storer.Position) bool {
	return v.State != Running && v.At.Era == position.Era && revision <= v.At.Revision
}

// find returns the index of the verdict on a version, or where it would be inserted.
func (v Verdicts) find(id VersionID) (int, bool) {
	return slices.BinarySearchFunc(v.entries, id, func(entry retainedVerdict, id VersionID) int {
		return cmp.Or(cmp.Compare(entry.Service, id.Service), cmp.Compare(entry.Version, id.Version))
	})
}
