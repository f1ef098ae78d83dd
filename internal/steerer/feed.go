package steerer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/query/watcher"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// relayAfter is how long an instance that a peer is ahead of waits for the
	// platform to tell it, before it asks the peer.
	relayAfter = 300 * time.Millisecond
	// firstRelayWait is how long an instance that has just started waits for peers to
	// tell what they know, before it asks the platform itself.
	firstRelayWait = 1200 * time.Millisecond
	// fetchLimit bounds the reading of a peer's view.
	fetchLimit = 2 * time.Second
)

// Since asks for what has changed in a feed.
type Since struct {
	// Revision is that of the asking instance's view; 0 asks for the whole.
	Revision uint64
}

var (
	nothings = encoder.CBOR[reporter.Nothing]{}
	sinces   = encoder.CBOR[Since]{}
	deltas   = encoder.CBOR[watcher.Delta[[]byte]]{}
)

// follower follows one kind of objects: from the platform and, where that does not
// answer or does not tell, from peers.
type follower interface {
	// run follows until ctx ends.
	run(ctx context.Context) error
	// renew makes the watch under way anew.
	renew()
	// changedAt returns the store's revision of the last change that is known here.
	changedAt() uint64
	// catchUp asks a peer that knows of a later change, unless the platform tells of
	// it meanwhile.
	catchUp(peer registrar.Member, theirs uint64)
}

// feeder is a follower of objects of type T.
type feeder[T any] struct {
	steerer *Steerer
	feed    Feed[T]
	topic   string
	watcher *watcher.Watcher[[]byte]
	// update is told of each change.
	update func(entries []entry[T], revision uint64)
	// history holds the newest view, or is nil before the first.
	history atomic.Pointer[watcher.History[[]byte]]
	// fetching is set while a view is fetched from a peer.
	fetching atomic.Bool

	// known holds the decoded objects under their names. Only the watcher's goroutine
	// uses it.
	known map[string]entry[T]
}

// entry is a decoded object.
type entry[T any] struct {
	// name lacks the feed's prefix.
	name     string
	revision uint64
	value    T
	// fault says why the value cannot be used, or is nil.
	fault error
}

var _ follower = (*feeder[int])(nil)

// newFeeder returns a feeder and lets peers ask for its view. Its topic tells it
// from others.
func newFeeder[T any](s *Steerer, feed Feed[T], update func([]entry[T], uint64)) *feeder[T] {
	f := &feeder[T]{
		steerer: s,
		feed:    feed,
		topic:   "Feed/" + feed.Prefix,
		update:  update,
		known:   map[string]entry[T]{},
	}
	f.watcher = watcher.New[[]byte](s.platform.Store, feed.Prefix, f.due)
	f.watcher.WithWait(s.watchWait).WithPause(feed.PauseMillis)
	own := handler.QueryFunc[Since, watcher.Delta[[]byte]](
		func(_ context.Context, since Since) (watcher.Delta[[]byte], error) {
			if history := f.history.Load(); history != nil {
				return history.Since(since.Revision), nil
			}
			return watcher.Delta[[]byte]{}, nil
		},
	)
	linker.Handle(s.hub, f.topic, own, sinces, deltas)
	return f
}

// due says whether this instance watches the feed itself. One that has seen nothing
// yet does so too if no peer tells it soon, and at once where it learns of its peers.
func (f *feeder[T]) due() bool {
	s := f.steerer
	if s.watching.Load() {
		return true
	}
	if f.history.Load() != nil {
		return false
	}
	return f.feed.Prefix == s.platform.Members.Prefix || time.Since(s.begun) > firstRelayWait
}

func (f *feeder[T]) run(ctx context.Context) error {
	return f.watcher.Run(ctx, f.take, f.steerer.storeAnswered, f.steerer.storeFailed)
}

func (f *feeder[T]) renew() {
	f.watcher.Renew()
}

// view returns the newest view, which is empty before the first.
func (f *feeder[T]) view() watcher.View[[]byte] {
	if history := f.history.Load(); history != nil {
		return history.View()
	}
	return watcher.View[[]byte]{}
}

func (f *feeder[T]) changedAt() uint64 {
	return f.view().Revision
}

// take takes in a new view.
func (f *feeder[T]) take(view watcher.View[[]byte]) {
	next := watcher.NewHistory(view)
	if history := f.history.Load(); history != nil {
		next = history.WithView(view)
	}
	f.history.Store(&next)
	f.update(f.decode(view), view.Revision)
	if f.steerer.watching.Load() {
		f.steerer.hub.NudgePlace()
	}
}

// decode decodes the objects that have changed. Those that cannot be used are
// logged once and left out.
func (f *feeder[T]) decode(view watcher.View[[]byte]) []entry[T] {
	next := make(map[string]entry[T], len(view.Objects))
	usable := make([]entry[T], 0, len(view.Objects))
	for _, object := range view.Objects {
		read, found := f.known[object.Name]
		if !found || read.revision != object.Revision {
			read = f.read(object)
		}
		next[object.Name] = read
		if read.fault == nil {
			usable = append(usable, read)
		}
	}
	f.known = next
	return usable
}

func (f *feeder[T]) read(object storer.Object[[]byte]) entry[T] {
	value, err := f.feed.Codec.Decode(object.Value)
	if err != nil {
		f.steerer.log.Warn().
			Str("Object", object.Name).
			Uint64("Revision", object.Revision).
			Err(err).
			Msg("ObjectUnusable")
	}
	return entry[T]{
		name:     object.Name[len(f.feed.Prefix):],
		revision: object.Revision,
		value:    value,
		fault:    err,
	}
}

func (f *feeder[T]) catchUp(peer registrar.Member, theirs uint64) {
	if theirs <= f.changedAt() || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	f.steerer.hub.Go(func() {
		defer f.fetching.Store(false)
		f.fetch(peer, theirs)
	})
}

func (f *feeder[T]) fetch(peer registrar.Member, theirs uint64) {
	s := f.steerer
	ctx, cancel := context.WithTimeout(s.life.Work(), fetchLimit)
	defer cancel()
	wait := relayAfter
	if s.follows(peer) {
		wait = 0
	}
	if !sleep(ctx, wait) || theirs <= f.changedAt() {
		return
	}
	before := f.view()
	since := Since{
		Revision: before.Revision,
	}
	delta, err := linker.Ask(ctx, s.hub, peer.Incarnation, f.topic, since, sinces, deltas)
	if err != nil {
		s.log.Warn().Str("Peer", peer.Name).Str("Topic", f.topic).Err(err).Msg("RelayFailed")
		return
	}
	view, applies := delta.Apply(before)
	s.log.Info().
		Str("Peer", peer.Name).
		Str("Topic", f.topic).
		Uint64("Revision", delta.Revision).
		Uint64("Before", before.Revision).
		Int("Changed", len(delta.Objects)).
		Int("Removed", len(delta.Removed)).
		Bool("Applies", applies).
		Msg("Relayed")
	if !applies {
		return
	}
	s.noteRelay(peer)
	f.watcher.Offer(view)
}
