package trier

import (
	_ "embed"
	"net/netip"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

//go:embed objects.toml
var builtIn []byte

// BuiltIn returns the objects of a small deployment: two failure domains in each
// of two regions.
func BuiltIn() (declarer.Document, error) {
	return encoder.TOML[declarer.Document]{}.Decode(builtIn)
}

// KeyOf returns the key that a trial's callers show for a declared key. A trial
// replaces the declared hashes, because the real keys are not known to it.
func KeyOf(name string) string {
	return "try-key-of-" + name
}

// scaleDown returns a set that fits into one process: so many instances a place,
// at most perPlace upstreams of a version a place, and keys that the trial knows.
// Places that end without upstreams stay declared.
func scaleDown(set declarer.Set, seats, perPlace int) declarer.Set {
	for place := range set.Places.All() {
		set = set.WithPlace(place.WithSeats(seats))
	}
	for version := range set.Versions.All() {
		set = set.WithVersion(version.WithUpstreams(thin(version.Upstreams, perPlace)...))
	}
	for key := range set.Keys.All() {
		key.Hash = declarer.HashKey(KeyOf(key.Name)).String()
		set = set.WithKey(key)
	}
	return set
}

// thin keeps the first upstreams of each place.
func thin(upstreams []declarer.Upstream, perPlace int) []declarer.Upstream {
	kept := map[string]int{}
	var thinned []declarer.Upstream
	for _, upstream := range upstreams {
		kept[upstream.Place]++
		if kept[upstream.Place] <= perPlace {
			thinned = append(thinned, upstream)
		}
	}
	return thinned
}

// firstAddress returns the address after the first of a block.
func firstAddress(block string) string {
	prefix, err := netip.ParsePrefix(block)
	if err != nil {
		return "127.0.0.1"
	}
	return prefix.Addr().Next().String()
}
