package exporter

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Names of the metrics of the queues.
const (
	nameQueued       = "hemlockport_queue_decisions_total"
	nameQueuedMillis = "hemlockport_queue_wait_millis_total"
)

// QueueCounters counts what the queues did with requests. Requests that find an upstream with
// room are not counted.
type QueueCounters struct {
	registry metrics.Registry
}

// NewQueueCounters returns counters that are registered with a registry.
func NewQueueCounters(registry metrics.Registry) *QueueCounters {
	return &QueueCounters{
		registry: registry,
	}
}

// Count counts a request that waited or was refused, by its priority, the cause, and whether it
// was answered in the end; waited is how long it waited.
func (c *QueueCounters) Count(priority int, cause string, answered bool, waited time.Duration) {
	decisions := fmt.Sprintf("%s{priority=\"%d\",cause=%q,answered=\"%t\"}", nameQueued, priority, cause, answered)
	metrics.GetOrRegisterCounter(decisions, c.registry).Inc(1)
	millis := fmt.Sprintf("%s{priority=\"%d\"}", nameQueuedMillis, priority)
	metrics.GetOrRegisterCounter(millis, c.registry).Inc(waited.Milliseconds())
}
