package commander

import (
	"os"
	"runtime/debug"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/fronter"
)

// limitMemory sets the memory that the runtime should stay under, unless the environment
// sets the limit itself (GOMEMLIMIT). Near the limit, garbage is collected more often. Far
// below it, nothing changes.
func limitMemory(settings configurer.Settings) {
	bytes := fronter.BoundsOf(settings).RuntimeBytes
	if _, set := os.LookupEnv("GOMEMLIMIT"); set || bytes == 0 {
		return
	}
	debug.SetMemoryLimit(bytes)
}
