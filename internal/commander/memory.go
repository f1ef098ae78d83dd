package commander

import (
	"os"
	"runtime/debug"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/fronter"
)

// limitMemory sets the memory that the runtime should stay under, if the settings state
// that of the machine and the environment does not set the limit itself (GOMEMLIMIT). Near
// the limit, garbage is collected more often. Far below it, nothing changes.
func limitMemory(capacity configurer.Capacity) {
	bytes := fronter.BoundsOf(capacity).RuntimeBytes
	if _, set := os.LookupEnv("GOMEMLIMIT"); set || bytes == 0 {
		return
	}
	debug.SetMemoryLimit(bytes)
}
