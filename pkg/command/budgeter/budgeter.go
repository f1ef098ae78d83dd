// Package budgeter keeps an instance's calls to the platform within a budget and reports
// them by kind. The budget keeps many instances that recover at the same time from
// overloading the platform's store.
package budgeter

import (
	"context"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// Kind is a kind of call.
type Kind string

// The kinds of calls. A waiting watch is one call.
const (
	Read  Kind = "read"
	Write Kind = "write"
	Watch Kind = "watch"
)

// Platform is the store and the list of instances that the calls go to.
type Platform interface {
	storer.Store
	storer.Lister
}

// Budget is how many calls an instance may make.
type Budget struct {
	// ReadsPerSecond limits reads and watches, WritesPerSecond writes; both above 0.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// burst is how many reads and watches, and how many writes, may be made at once.
const burst = 20

// Budgeter wraps a platform and makes each call wait until the budget allows it. It is
// safe for many goroutines.
type Budgeter struct {
	platform Platform
	reads    *limiter.Bucket
	writes   *limiter.Bucket
	// onCall is called once for each call to the platform.
	onCall func(Kind)
}

// New returns a budgeter that passes calls on to platform within the budget, and calls
// onCall for each.
func New(platform Platform, budget Budget, onCall func(Kind)) *Budgeter {
	now := time.Now()
	return &Budgeter{
		platform: platform,
		reads:    limiter.NewBucket(limiter.Limit{}.WithRate(budget.ReadsPerSecond).WithBurst(burst), now),
		writes:   limiter.NewBucket(limiter.Limit{}.WithRate(budget.WritesPerSecond).WithBurst(burst), now),
		onCall:   onCall,
	}
}

// Get returns one object, or storer.ErrNotFound if there is none.
func (b *Budgeter) Get(ctx context.Context, name string) (storer.Object[[]byte], error) {
	if err := b.waitForBudget(ctx, Read, b.reads); err != nil {
		return storer.Object[[]byte]{}, err
	}
	return b.platform.Get(ctx, name)
}

// List returns all objects whose names start with prefix.
func (b *Budgeter) List(ctx context.Context, prefix string) (storer.Changes[[]byte], error) {
	if err := b.waitForBudget(ctx, Read, b.reads); err != nil {
		return storer.Changes[[]byte]{}, err
	}
	return b.platform.List(ctx, prefix)
}

// Watch waits for changes below prefix after a revision.
func (b *Budgeter) Watch(ctx context.Context, prefix string, after uint64) (storer.Changes[[]byte], error) {
	if err := b.waitForBudget(ctx, Watch, b.reads); err != nil {
		return storer.Changes[[]byte]{}, err
	}
	return b.platform.Watch(ctx, prefix, after)
}

// Put writes an object if the condition holds.
func (b *Budgeter) Put(
	ctx context.Context,
	name string,
	value []byte,
	condition storer.Condition,
) (storer.Object[[]byte], error) {
	if err := b.waitForBudget(ctx, Write, b.writes); err != nil {
		return storer.Object[[]byte]{}, err
	}
	return b.platform.Put(ctx, name, value, condition)
}

// Delete removes an object if the condition holds.
func (b *Budgeter) Delete(ctx context.Context, name string, condition storer.Condition) error {
	if err := b.waitForBudget(ctx, Write, b.writes); err != nil {
		return err
	}
	return b.platform.Delete(ctx, name, condition)
}

// Instances returns the platform's list of instances.
func (b *Budgeter) Instances(ctx context.Context) ([]storer.Instance, error) {
	if err := b.waitForBudget(ctx, Read, b.reads); err != nil {
		return nil, err
	}
	return b.platform.Instances(ctx)
}

// waitForBudget waits until the budget allows a call. Its error says that the call was
// not made.
func (b *Budgeter) waitForBudget(ctx context.Context, kind Kind, bucket *limiter.Bucket) error {
	for {
		now := time.Now()
		next, ok := bucket.Take(now)
		if ok {
			b.onCall(kind)
			return nil
		}
		if err := retrier.Sleep(ctx, next.Sub(now)); err != nil {
			return storer.NotSent("wait for the budget of a "+string(kind), err)
		}
	}
}
