package sharer

import "time"

// Ask is a question for units of a resource.
type Ask struct {
	Serial Serial
	// Resource names what is shared, such as a team.
	Resource string
	// Units is how many are asked for; at least 1.
	Units int
	// PatienceMillis is how long the lender may wait for the first of them.
	PatienceMillis int
}

// Grant is the answer to an ask.
type Grant struct {
	Serial Serial
	// Units may be used until UnitTerm after the asking.
	Units int
}

// Directed is an ask and whom it is for.
type Directed struct {
	Holder string
	Ask    Ask
}

// Settlement tells a lender that its units are used no longer.
type Settlement struct {
	// Holder is the lender.
	Holder   string
	Resource string
	Serial   Serial
	// Unused units go back into the lender's stock.
	Unused int
}

// Work is what a desk wants done.
type Work struct {
	Asks        []Directed
	Settlements []Settlement
	// Next is the instant at which the desk is to be pumped again, or zero.
	Next time.Time
}
