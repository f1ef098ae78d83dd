package steerer

import (
	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/enumerator"
	"github.com/hemlockport/hemlockport/pkg/command/surveyor"
)

// survey is the encoding of a surveyor.Survey on a link.
type survey struct {
	_      struct{} `cbor:",toarray"`
	Caches []cacheDigest
	Loads  []loadSum
}

// cacheDigest is the encoding of an admitter.CacheDigest on a link.
type cacheDigest struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Region  string
	Samples uint64
	Bits    [enumerator.Words]uint64
	Popular []objectCount
}

// objectCount is the encoding of an admitter.ObjectCount on a link.
type objectCount struct {
	_        struct{} `cbor:",toarray"`
	Object   uint64
	Requests uint64
}

// loadSum is the encoding of an admitter.LoadSum on a link.
type loadSum struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint64
	// Thousandths is the sum in thousandths of a request per slot.
	Thousandths uint64
	Count       uint64
	// SlowdownThousandths is the sum of the slowdowns in thousandths of what is usual.
	SlowdownThousandths uint64
	SlowdownCount       uint64
}

// findings is the encoding of surveyor.Findings on a link.
type findings struct {
	_      struct{} `cbor:",toarray"`
	Caches []cacheNotice
	Loads  []loadNotice
}

// cacheNotice is the encoding of an admitter.CacheNotice on a link.
type cacheNotice struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Region  string
	Objects uint64
	Popular []objectDemand
}

// objectDemand is the encoding of an admitter.ObjectDemand on a link.
type objectDemand struct {
	_      struct{} `cbor:",toarray"`
	Object uint64
	// Thousandths is the demand in thousandths of a request a second.
	Thousandths uint64
}

// loadNotice is the encoding of an admitter.LoadNotice on a link.
type loadNotice struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint64
	// Thousandths is the load in thousandths of a request per slot.
	Thousandths uint64
	// SlowdownThousandths is the slowdown in thousandths of what is usual, or 0.
	SlowdownThousandths uint64
}

// thousandthsPerUnit converts requests per slot, slowdowns and demands to thousandths.
const thousandthsPerUnit = 1000

var (
	surveyCodec   = encoder.CBOR[survey]{}
	findingsCodec = encoder.CBOR[findings]{}
)

// newSurvey converts a survey to its encoding on a link.
func newSurvey(source surveyor.Survey) survey {
	message := survey{}
	for _, cache := range source.Caches {
		message.Caches = append(message.Caches, cacheDigest{
			Service: cache.ID.Service,
			Region:  cache.ID.Region,
			Samples: cache.Digest.Samples,
			Bits:    cache.Digest.Bits,
			Popular: newObjectCounts(cache.Popular),
		})
	}
	for _, load := range source.Loads {
		message.Loads = append(message.Loads, loadSum{
			Upstream:    load.Upstream,
			Thousandths: uint64(load.Sum * thousandthsPerUnit),
			Count:       load.Count,

			SlowdownThousandths: uint64(load.Slowdowns * thousandthsPerUnit),
			SlowdownCount:       load.SlowdownCount,
		})
	}
	return message
}

// surveyorSurvey converts a received survey to the surveyor's form.
func (s survey) surveyorSurvey() surveyor.Survey {
	decoded := surveyor.Survey{}
	for _, cache := range s.Caches {
		decoded.Caches = append(decoded.Caches, admitter.CacheDigest{
			ID: admitter.CacheID{
				Service: cache.Service,
				Region:  cache.Region,
			},
			Digest: enumerator.Digest{
				Samples: cache.Samples,
				Bits:    cache.Bits,
			},
			Popular: admitterCounts(cache.Popular),
		})
	}
	for _, load := range s.Loads {
		decoded.Loads = append(decoded.Loads, admitter.LoadSum{
			Upstream: load.Upstream,
			Sum:      float64(load.Thousandths) / thousandthsPerUnit,
			Count:    load.Count,

			Slowdowns:     float64(load.SlowdownThousandths) / thousandthsPerUnit,
			SlowdownCount: load.SlowdownCount,
		})
	}
	return decoded
}

// newFindings converts findings to their encoding on a link.
func newFindings(source surveyor.Findings) findings {
	message := findings{}
	for _, cache := range source.Caches {
		message.Caches = append(message.Caches, cacheNotice{
			Service: cache.ID.Service,
			Region:  cache.ID.Region,
			Objects: uint64(cache.Objects),
			Popular: newObjectDemands(cache.Popular),
		})
	}
	for _, load := range source.Loads {
		message.Loads = append(message.Loads, loadNotice{
			Upstream:    load.Upstream,
			Thousandths: uint64(load.Load * thousandthsPerUnit),

			SlowdownThousandths: uint64(load.Slowdown * thousandthsPerUnit),
		})
	}
	return message
}

// surveyorFindings converts received findings to the surveyor's form.
func (f findings) surveyorFindings() surveyor.Findings {
	decoded := surveyor.Findings{}
	for _, cache := range f.Caches {
		decoded.Caches = append(decoded.Caches, admitter.CacheNotice{
			ID: admitter.CacheID{
				Service: cache.Service,
				Region:  cache.Region,
			},
			Objects: float64(cache.Objects),
			Popular: admitterDemands(cache.Popular),
		})
	}
	for _, load := range f.Loads {
		decoded.Loads = append(decoded.Loads, admitter.LoadNotice{
			Upstream: load.Upstream,
			Load:     float64(load.Thousandths) / thousandthsPerUnit,
			Slowdown: float64(load.SlowdownThousandths) / thousandthsPerUnit,
		})
	}
	return decoded
}

// newObjectCounts converts counts to their encoding on a link.
func newObjectCounts(source []admitter.ObjectCount) []objectCount {
	counts := make([]objectCount, 0, len(source))
	for _, count := range source {
		counts = append(counts, objectCount{
			Object:   count.Object,
			Requests: count.Requests,
		})
	}
	return counts
}

// admitterCounts converts received counts to the admitter's form.
func admitterCounts(received []objectCount) []admitter.ObjectCount {
	counts := make([]admitter.ObjectCount, 0, len(received))
	for _, count := range received {
		counts = append(counts, admitter.ObjectCount{
			Object:   count.Object,
			Requests: count.Requests,
		})
	}
	return counts
}

// newObjectDemands converts demands to their encoding on a link.
func newObjectDemands(source []admitter.ObjectDemand) []objectDemand {
	demands := make([]objectDemand, 0, len(source))
	for _, demand := range source {
		demands = append(demands, objectDemand{
			Object:      demand.Object,
			Thousandths: uint64(demand.PerSecond * thousandthsPerUnit),
		})
	}
	return demands
}

// admitterDemands converts received demands to the admitter's form.
func admitterDemands(received []objectDemand) []admitter.ObjectDemand {
	demands := make([]admitter.ObjectDemand, 0, len(received))
	for _, demand := range received {
		demands = append(demands, admitter.ObjectDemand{
			Object:    demand.Object,
			PerSecond: float64(demand.Thousandths) / thousandthsPerUnit,
		})
	}
	return demands
}
