// Package handler defines the two kinds of operation in this project. A Command changes
// state; a Query only reads it. Front ends call both through these types, whatever
// encoding they use.
package handler

import "context"

// Command is an operation that changes state.
type Command[C, R any] interface {
	// Do carries out the command and returns its result. If the command concerns a
	// request, the error carries an arbiter.Verdict.
	Do(ctx context.Context, command C) (R, error)
}

// Query is an operation that only reads state, so that it can be repeated safely.
type Query[Q, R any] interface {
	// Ask returns the answer to the query.
	Ask(ctx context.Context, query Q) (R, error)
}

// CommandFunc is an adapter that makes a function a Command.
type CommandFunc[C, R any] func(ctx context.Context, command C) (R, error)

// Do calls the function.
func (f CommandFunc[C, R]) Do(ctx context.Context, command C) (R, error) {
	return f(ctx, command)
}

// QueryFunc is an adapter that makes a function a Query.
type QueryFunc[Q, R any] func(ctx context.Context, query Q) (R, error)

// Ask calls the function.
func (f QueryFunc[Q, R]) Ask(ctx context.Context, query Q) (R, error) {
	return f(ctx, query)
}
