package exporter

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Write writes all counters and gauges of a registry, one a line, sorted, in the
// text exposition format 0.0.4.
func Write(w io.Writer, registry metrics.Registry) error {
	lines := map[string]string{}
	var names []string
	registry.Each(func(name string, metric any) {
		text, known := valueOf(metric)
		if !known {
			return
		}
		names = append(names, name)
		lines[name] = text
	})
	slices.Sort(names)
	out := bufio.NewWriter(w)
	family := ""
	for _, name := range names {
		if next, kind := familyOf(name); next != family {
			family = next
			fmt.Fprintf(out, "# TYPE %s %s\n", family, kind)
		}
		fmt.Fprintf(out, "%s %s\n", name, lines[name])
	}
	return out.Flush()
}

func valueOf(metric any) (string, bool) {
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

// familyOf returns the name and the kind of the metric that a line belongs to.
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
