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
	return survey{
		Caches: appendConverted(nil, source.Caches, newCacheDigest),
		Loads:  appendConverted(nil, source.Loads, newLoadSum),
	}
}

// surveyorSurvey converts a received survey to the surveyor's form.
func (s survey) surveyorSurvey() surveyor.Survey {
	return surveyor.Survey{
		Caches: appendConverted(nil, s.Caches, cacheDigest.admitterDigest),
		Loads:  appendConverted(nil, s.Loads, loadSum.admitterSum),
	}
}

// newFindings converts findings to their encoding on a link.
func newFindings(source surveyor.Findings) findings {
	return findings{
		Caches: appendConverted(nil, source.Caches, newCacheNotice),
		Loads:  appendConverted(nil, source.Loads, newLoadNotice),
	}
}

// surveyorFindings converts received findings to the surveyor's form.
func (f findings) surveyorFindings() surveyor.Findings {
	return surveyor.Findings{
		Caches: appendConverted(nil, f.Caches, cacheNotice.admitterNotice),
		Loads:  appendConverted(nil, f.Loads, loadNotice.admitterNotice),
	}
}

// appendConverted appends each element of source to target in another form.
func appendConverted[S, T any](target []T, source []S, convert func(S) T) []T {
	for _, element := range source {
		target = append(target, convert(element))
	}
	return target
}

func newCacheDigest(source admitter.CacheDigest) cacheDigest {
	return cacheDigest{
		Service: source.ID.Service,
		Region:  source.ID.Region,
		Samples: source.Digest.Samples,
		Bits:    source.Digest.Bits,
		Popular: appendConverted([]objectCount{}, source.Popular, newObjectCount),
	}
}

func (c cacheDigest) admitterDigest() admitter.CacheDigest {
	return admitter.CacheDigest{
		ID: admitter.CacheID{
			Service: c.Service,
			Region:  c.Region,
		},
		Digest: enumerator.Digest{
			Samples: c.Samples,
			Bits:    c.Bits,
		},
		Popular: appendConverted([]admitter.ObjectCount{}, c.Popular, objectCount.admitterCount),
	}
}

func newObjectCount(source admitter.ObjectCount) objectCount {
	return objectCount{
		Object:   source.Object,
		Requests: source.Requests,
	}
}

func (c objectCount) admitterCount() admitter.ObjectCount {
	return admitter.ObjectCount{
		Object:   c.Object,
		Requests: c.Requests,
	}
}

func newLoadSum(source admitter.LoadSum) loadSum {
	return loadSum{
		Upstream:    source.Upstream,
		Thousandths: uint64(source.Sum * thousandthsPerUnit),
		Count:       source.Count,

		SlowdownThousandths: uint64(source.Slowdowns * thousandthsPerUnit),
		SlowdownCount:       source.SlowdownCount,
	}
}

func (l loadSum) admitterSum() admitter.LoadSum {
	return admitter.LoadSum{
		Upstream: l.Upstream,
		Sum:      float64(l.Thousandths) / thousandthsPerUnit,
		Count:    l.Count,

		Slowdowns:     float64(l.SlowdownThousandths) / thousandthsPerUnit,
		SlowdownCount: l.SlowdownCount,
	}
}

func newCacheNotice(source admitter.CacheNotice) cacheNotice {
	return cacheNotice{
		Service: source.ID.Service,
		Region:  source.ID.Region,
		Objects: uint64(source.Objects),
		Popular: appendConverted([]objectDemand{}, source.Popular, newObjectDemand),
	}
}

func (c cacheNotice) admitterNotice() admitter.CacheNotice {
	return admitter.CacheNotice{
		ID: admitter.CacheID{
			Service: c.Service,
			Region:  c.Region,
		},
		Objects: float64(c.Objects),
		Popular: appendConverted([]admitter.ObjectDemand{}, c.Popular, objectDemand.admitterDemand),
	}
}

func newObjectDemand(source admitter.ObjectDemand) objectDemand {
	return objectDemand{
		Object:      source.Object,
		Thousandths: uint64(source.PerSecond * thousandthsPerUnit),
	}
}

func (d objectDemand) admitterDemand() admitter.ObjectDemand {
	return admitter.ObjectDemand{
		Object:    d.Object,
		PerSecond: float64(d.Thousandths) / thousandthsPerUnit,
	}
}

func newLoadNotice(source admitter.LoadNotice) loadNotice {
	return loadNotice{
		Upstream:    source.Upstream,
		Thousandths: uint64(source.Load * thousandthsPerUnit),

		SlowdownThousandths: uint64(source.Slowdown * thousandthsPerUnit),
	}
}

func (l loadNotice) admitterNotice() admitter.LoadNotice {
	return admitter.LoadNotice{
		Upstream: l.Upstream,
		Load:     float64(l.Thousandths) / thousandthsPerUnit,
		Slowdown: float64(l.SlowdownThousandths) / thousandthsPerUnit,
	}
}
