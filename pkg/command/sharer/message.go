package sharer

import "time"

// Ask is a loan request for units of a resource.
type Ask struct {
	Serial Serial
	// Resource names what is shared, such as a team.
	Resource string
	// Units is the number of units requested; at least 1.
	Units int
	// LenderWaitMillis is how long the lender may hold back its answer until it has a
	// first unit to lend, in milliseconds.
	LenderWaitMillis int
}

// Grant is the answer to an ask.
type Grant struct {
	Serial Serial
	// Units is the number of units lent. They may be used until LoanTerm after the
	// borrower asked; 0 means that nothing was lent.
	Units int
}

// DirectedAsk is an ask together with its recipient.
type DirectedAsk struct {
	// Holder is the incarnation of the instance to ask.
	Holder string
	Ask    Ask
}

// Settlement notifies a lender that the borrower uses the lent units no longer.
type Settlement struct {
	// Holder is the incarnation of the lender.
	Holder   string
	Resource string
	Serial   Serial
	// Unused is the number of units that return to the lender's stock.
	Unused int
}

// Work lists the messages that the caller of Poll must send.
type Work struct {
	Asks        []DirectedAsk
	Settlements []Settlement
	// Next is the instant of the next poll, or zero if none is needed.
	Next time.Time
}
