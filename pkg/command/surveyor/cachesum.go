package surveyor

import (
	"slices"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/enumerator"
)

// cacheSum sums digests by the upstreams that they are about.
type cacheSum map[admitter.CacheID]enumerator.Digest

func newCacheSum() cacheSum {
	return cacheSum{}
}

// add adds the digests of one sender.
func (r cacheSum) add(digests []admitter.CacheDigest) {
	for _, digest := range digests {
		r[digest.ID] = r[digest.ID].WithMerged(digest.Digest)
	}
}

// addAll adds the digests of all senders.
func (r cacheSum) addAll(senders map[string]told) {
	for _, told := range senders {
		r.add(told.caches)
	}
}

// digests returns the sums, sorted by ID, with the counts of popular objects.
func (r cacheSum) digests(counts objectSum) []admitter.CacheDigest {
	digests := map[admitter.CacheID]admitter.CacheDigest{}
	for id, digest := range r {
		digests[id] = admitter.CacheDigest{
			ID:      id,
			Digest:  digest,
			Popular: counts.highest(id),
		}
	}
	return sortedValues(digests, lessID)
}

// notices returns the numbers of objects, sorted by ID, with the demand for popular objects.
func (r cacheSum) notices(rates rates) []admitter.CacheNotice {
	notices := map[admitter.CacheID]admitter.CacheNotice{}
	for id, digest := range r {
		// An unknown number is told as 0.
		objects, _ := digest.Objects()
		notices[id] = admitter.CacheNotice{
			ID:      id,
			Objects: objects,
			Popular: rates.popular(id, objects),
		}
	}
	return sortedValues(notices, lessID)
}

func lessID(a, b admitter.CacheID) bool {
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	return a.Region < b.Region
}

// sortedValues returns the values of a map in the order of their keys.
func sortedValues[K comparable, V any](values map[K]V, less func(a, b K) bool) []V {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b K) int {
		switch {
		case less(a, b):
			return -1
		case less(b, a):
			return 1
		default:
			return 0
		}
	})
	sorted := make([]V, 0, len(keys))
	for _, key := range keys {
		sorted = append(sorted, values[key])
	}
	return sorted
}
