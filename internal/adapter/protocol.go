// Package adapter speaks the object API of a platform over HTTP.
package adapter

// The paths, parameters and headers of the object API. An object's name follows
// PathObjects, each of its segments escaped. Conditions travel as If-Match and
// If-None-Match, revisions as ETag (RFC 9110, section 13).
const (
	PathObjects     = "/objects"
	PathInstances   = "/instances"
	ParamPrefix     = "prefix"
	ParamAfter      = "after"
	ParamWaitMillis = "waitMillis"
)

// WatchMillis is how long one watch call waits at most, in milliseconds.
const WatchMillis = 20_000
