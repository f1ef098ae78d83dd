// Package adapter is a client for the object API of a platform over HTTP.
package adapter

// The paths and parameters of the object API. The path of an object is PathObjects,
// followed by the object's name with each of its segments escaped. Conditions are
// encoded as If-Match and If-None-Match headers, and revisions as ETag headers (RFC
// 9110, section 13).
const (
	PathObjects     = "/objects"
	PathInstances   = "/instances"
	ParamPrefix     = "prefix"
	ParamAfter      = "after"
	ParamWaitMillis = "waitMillis"
)

// WatchMillis is the longest time that one watch call waits, in milliseconds.
const WatchMillis = 20_000
