// Package handler gives the two shapes of work in this project. A Command
// changes something; a Query only reads. Front ends of any encoding call both
// through these types.
package handler

import "context"

// Command changes state. It returns what came of it.
type Command[C, R any] interface {
	// Do carries out command. Its error, if any, carries an arbiter.Verdict
	// where a request is concerned.
	Do(ctx context.Context, command C) (R, error)
}

// Query reads state and leaves it as it is, so it may be repeated at will.
type Query[Q, R any] interface {
	// Ask answers query.
	Ask(ctx context.Context, query Q) (R, error)
}

// CommandFunc lets a function serve as a Command.
type CommandFunc[C, R any] func(ctx context.Context, command C) (R, error)

// Do calls the function.
func (f CommandFunc[C, R]) Do(ctx context.Context, command C) (R, error) {
	return f(ctx, command)
}

// QueryFunc lets a function serve as a Query.
type QueryFunc[Q, R any] func(ctx context.Context, query Q) (R, error)

// Ask calls the function.
func (f QueryFunc[Q, R]) Ask(ctx context.Context, query Q) (R, error) {
	return f(ctx, query)
}
