package usagereporter

import (
	"sync"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/leaser"
)

// bootClock counts the time in which the machine was suspended, and never jumps backward. It is
// safe for concurrent use.
type bootClock struct {
	// hasBoot says that the system's own such clock is used.
	hasBoot bool
	mu      sync.Mutex
	read    time.Time
	elapsed leaser.Instant
}

func newBootClock() *bootClock {
	_, hasBoot := readBootTime()
	return &bootClock{
		hasBoot: hasBoot,
		read:    time.Now(),
		elapsed: 1,
	}
}

// now returns the present instant, which is never 0. Without the system's clock it advances by
// the higher one of two clocks: the monotonic one may stand still while the machine is
// suspended, and the time of day may be set back. A lease thus ends too early rather than too
// late.
func (c *bootClock) now() leaser.Instant {
	if c.hasBoot {
		if now, read := readBootTime(); read {
			return now
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.elapsed += max(now.Sub(c.read), now.Round(0).Sub(c.read.Round(0)))
	c.read = now
	return c.elapsed
}
