package exporter

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Write writes all counters and gauges of a registry in the Prometheus text exposition
// format 0.0.4, one a line, sorted by name.
func Write(w io.Writer, registry metrics.Registry) error {
	values := map[string]string{}
	var names []string
	registry.Each(func(name string, metric any) {
		text, known := formatValue(metric)
		if !known {
			return
		}
		names = append(names, name)
		values[name] = text
	})
	slices.Sort(names)
	out := bufio.NewWriter(w)
	family := ""
	for _, name := range names {
		if next, kind := familyOf(name); next != family {
			family = next
			fmt.Fprintf(out, "# TYPE %s %s\n", family, kind)
		}
		fmt.Fprintf(out, "%s %s\n", name, values[name])
	}
	return out.Flush()
}

// formatValue returns the value of a counter or gauge as text, or false for a metric of
// another kind.
func formatValue(metric any) (string, bool) {
	switch metric := metric.(type) {
	case metrics.Counter:
		return fmt.Sprint(metric.Count()), true
	case metrics.Gauge:
		return fmt.Sprint(metric.Value()), true
	case metrics.GaugeFloat64:
		return fmt.Sprint(metric.Value()), true
	default:
		return "", false
	}
}

// familyOf returns the name and the type of the metric family that a line belongs to.
func familyOf(name string) (family, kind string) {
	family, _, _ = strings.Cut(name, "{")
	for _, suffix := range []string{"_bucket", "_sum", "_count"} {
		if base, found := strings.CutSuffix(family, suffix); found {
			return base, "histogram"
		}
	}
	if strings.HasSuffix(family, "_total") {
		return family, "counter"
	}
	return family, "gauge"
}
