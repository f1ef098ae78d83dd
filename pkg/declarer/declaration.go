package declarer

// Declaration is the whole set that the operators have declared in one object of the
// platform, with its revision.
type Declaration struct {
	// Revision increases with each published declaration and is never zero.
	Revision uint64
	// Set holds all objects of the declaration.
	Set Set
}
