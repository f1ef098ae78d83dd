package pipeliner

import "errors"

// errNoRoom is the error of an answer for which the budget has no room.
var errNoRoom = errors.New("the requests of all connections hold too many bytes")

// take takes bytes from the server's budget, which release returns.
func (e *exchange) take(bytes int64) bool {
	if !e.conn.server.budget.Take(bytes) {
		return false
	}
	e.held += bytes
	return true
}

// takeForAnswer takes bytes from the server's budget for an answer that has to be passed on.
func (e *exchange) takeForAnswer(bytes int64) bool {
	if !e.conn.server.budget.TakeForAnswer(bytes) {
		return false
	}
	e.held += bytes
	return true
}

// release returns what the exchange has taken from the server's budget. The handler must
// have returned.
func (e *exchange) release() {
	e.conn.server.budget.Return(e.held)
	e.held = 0
}
