package declarer

// Declaration is a set that an operator has put in force, whole.
type Declaration struct {
	// Revision grows with each declaration and is never zero.
	Revision uint64
	// Set holds every object of the declaration.
	Set Set
}
