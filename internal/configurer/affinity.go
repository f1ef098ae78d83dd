package configurer

import (
	"fmt"

	"github.com/hemlockport/hemlockport/pkg/query/picker"
)

// Affinity configures how many upstreams serve an object. Only AdapterThimblegate uses it.
type Affinity struct {
	// ObjectsPerUpstream is the number of objects that an upstream keeps, so that it serves
	// them faster. 0, the default, means that Placing.Choices alone decides how many
	// upstreams serve an object. 0 to 1000000.
	ObjectsPerUpstream int
	// MaxCopies is the largest number of upstreams of a region that serve an object. 1 to 8;
	// 4 by default. It has no effect while ObjectsPerUpstream is 0.
	MaxCopies int
	// CountedObjects is the number of counters for popular objects of each service and region.
	// 8 to 4096; 128 by default. It has no effect while ObjectsPerUpstream is 0.
	CountedObjects int
}

const (
	// minCountedObjects and maxCountedObjects bound Affinity.CountedObjects. A counter takes 16
	// bytes.
	minCountedObjects = 8
	maxCountedObjects = 4096
)

// defaultAffinity returns the values of the fields that the settings file does not set.
func defaultAffinity() Affinity {
	return Affinity{
		MaxCopies:      4,
		CountedObjects: 128,
	}
}

func (v *validation) checkAffinity(affinity Affinity) {
	kept := affinity.ObjectsPerUpstream
	v.require(kept >= 0 && kept <= maxCount, "Affinity.ObjectsPerUpstream", fmt.Sprint(kept), "0 to 1000000")
	copies := affinity.MaxCopies
	v.require(copies >= 1 && copies <= picker.MaxChoices, "Affinity.MaxCopies", fmt.Sprint(copies),
		fmt.Sprintf("1 to %d", picker.MaxChoices))
	counted := affinity.CountedObjects
	v.require(counted >= minCountedObjects && counted <= maxCountedObjects, "Affinity.CountedObjects", fmt.Sprint(counted),
		fmt.Sprintf("%d to %d", minCountedObjects, maxCountedObjects))
}
