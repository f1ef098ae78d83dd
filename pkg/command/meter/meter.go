// Package meter counts the requests of teams in windows of time, sums the counts of many
// instances, and keeps the ledger of the windows that are reported. Its functions take time as
// an argument and do no I/O. Counting a request takes no lock.
//
// Window k begins k times the windows' length after the start of 1970, in true time.
package meter

import (
	"maps"
	"time"
)

// Retained is the number of windows whose counts are kept: the present one and the latest that
// have ended. Reports of older windows are given up.
const Retained = 16

// Counts holds the requests by team. Teams without requests are missing.
type Counts map[string]int64

// WindowCounts are the counts of one window.
type WindowCounts struct {
	_      struct{} `cbor:",toarray"`
	Window int64
	Counts Counts
}

// WindowAt returns the number of the window that a time is in.
func WindowAt(at time.Time, length time.Duration) int64 {
	nanos := at.UnixNano()
	window := nanos / int64(length)
	if nanos%int64(length) < 0 {
		window--
	}
	return window
}

// EndOf returns the end of a window.
func EndOf(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

// Plus returns the sums of two counts.
func (c Counts) Plus(other Counts) Counts {
	sum := maps.Clone(c)
	for team, count := range other {
		sum[team] += count
	}
	return sum
}

// upTo returns the higher one of two counts for each team.
func (c Counts) upTo(other Counts) Counts {
	highest := maps.Clone(c)
	for team, count := range other {
		highest[team] = max(highest[team], count)
	}
	return highest
}

// Total returns the requests of all teams.
func (c Counts) Total() int64 {
	total := int64(0)
	for _, count := range c {
		total += count
	}
	return total
}
