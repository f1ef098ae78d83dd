package launcher

import (
	_ "embed"
	"net/netip"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

//go:embed objects.toml
var builtIn []byte

// BuiltInDocument returns the objects of a local cluster: two failure domains in each of
// two regions.
func BuiltInDocument() (declarer.Document, error) {
	return encoder.TOML[declarer.Document]{}.Decode(builtIn)
}

// KeyOf returns the plain key that a local cluster uses for a declared key. Only hashes
// of keys are declared, so Start replaces them by the hashes of these.
func KeyOf(name string) string {
	return "try-key-of-" + name
}

// scaleDown returns a set that fits into one process: each failure domain has the given
// number of seats and at most perPlace upstreams of a version, and the keys are those
// of KeyOf. Failure domains without upstreams stay declared.
func scaleDown(set declarer.Set, seats, perPlace int) declarer.Set {
	for place := range set.Places.All() {
		set = set.WithPlace(place.WithSeats(seats))
	}
	for version := range set.Versions.All() {
		set = set.WithVersion(version.WithUpstreams(limitPerPlace(version.Upstreams, perPlace)...))
	}
	for key := range set.Keys.All() {
		key.Hash = declarer.HashKey(KeyOf(key.Name)).String()
		set = set.WithKey(key)
	}
	return set
}

// limitPerPlace returns the first upstreams of each failure domain, at most perPlace.
func limitPerPlace(upstreams []declarer.Upstream, perPlace int) []declarer.Upstream {
	counts := map[string]int{}
	var kept []declarer.Upstream
	for _, upstream := range upstreams {
		counts[upstream.Place]++
		if counts[upstream.Place] <= perPlace {
			kept = append(kept, upstream)
		}
	}
	return kept
}

// firstAddress returns the second address of a block, as the first is that of the
// network, or a loopback address if the block is invalid.
func firstAddress(block string) string {
	prefix, err := netip.ParsePrefix(block)
	if err != nil {
		return "127.0.0.1"
	}
	return prefix.Addr().Next().String()
}
