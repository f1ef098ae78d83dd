package declarer

// Declaration is the whole set that the operators have declared in one object of the
// platform, with its revision.
type Declaration struct {
	// Revision increases with each published declaration and is never zero.
	Revision uint64
	// Set holds all objects of the declaration.
	Set Set
	// Limits are what callers keep to.
	Limits Limits
}

// Limits are what callers keep to. 0 means that the declaration does not say.
type Limits struct {
	// HeaderBytes is the largest head of a request, in bytes.
	HeaderBytes int
	// HeaderMillis is the longest time in which a head arrives, in milliseconds.
	HeaderMillis int
	// IdleMillis is the time without a request after which a connection may be closed, in
	// milliseconds.
	IdleMillis int
}
