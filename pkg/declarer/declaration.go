package declarer

// Declaration is a whole set that an operator has published, with its revision.
type Declaration struct {
	// Revision increases with each published declaration and is never zero.
	Revision uint64
	// Set holds all objects of the declaration.
	Set Set
}
