package steerer

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/query/retainer"
	"github.com/hemlockport/hemlockport/pkg/query/watcher"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// peerFetchDelay is how long an instance waits for the platform to report a change that a
	// peer already knows, before it fetches the change from the peer.
	peerFetchDelay = 300 * time.Millisecond
	// initialPeerWait is how long an instance that has just started waits to fetch views
	// from its peers, before it reads from the platform itself.
	initialPeerWait = 1200 * time.Millisecond
	// fetchTimeout bounds a fetch of a peer's view, including the wait before it.
	fetchTimeout = 2 * time.Second
)

// DeltaRequest requests the changes in a collection since a position in the store's history.
type DeltaRequest struct {
	// Revision is the store's revision of the requesting instance's view; 0 requests the
	// whole collection.
	Revision uint64
	// Era is the store's era to which Revision belongs.
	Era uint64 `cbor:",omitzero"`
}

// position returns the position since which changes are requested.
func (r DeltaRequest) position() storer.Position {
	return storer.Position{
		Era:      r.Era,
		Revision: r.Revision,
	}
}

var (
	emptyCodec        = encoder.CBOR[reporter.Empty]{}
	deltaRequestCodec = encoder.CBOR[DeltaRequest]{}
	deltaCodec        = encoder.CBOR[watcher.Delta[[]byte]]{}
)

// reflector keeps a local copy of a collection up to date. An instance that watches gets
// changes from the platform, and from a peer if the platform does not answer or does not
// report one within peerFetchDelay. Any other instance gets them from its peers: at once
// from those of its failure domain, with a delay from the rest.
type reflector interface {
	// run keeps the copy up to date until ctx ends.
	run(ctx context.Context) error
	// restartWatch ends the current watch and starts a new one with the current timeout.
	restartWatch()
	// recheckWatch makes the reflector notice immediately that this instance is to watch.
	recheckWatch()
	// observeEra makes the copy be listed again if it is of an earlier era of the store.
	observeEra(era uint64)
	// refresh applies the objects that count now, if others count since the last view.
	refresh(now time.Time)
	// position returns the position in the store's history of the local copy; the zero value
	// before the first one.
	position() storer.Position
	// fetchIfBehind fetches the view of a peer that knows a later position, unless the
	// platform reports the change in the meantime. It does not block.
	fetchIfBehind(peer registrar.Member, peerPosition storer.Position)
}

// typedReflector is the reflector of a collection of objects of type T.
type typedReflector[T any] struct {
	steerer    *Steerer
	collection Collection[T]
	topic      string
	watcher    *watcher.Watcher[[]byte]
	// onUpdate is called with the objects that count, after each new view and when others
	// count.
	onUpdate func(entries []retainer.Entry[T], position storer.Position)
	// onView is called after onUpdate for each new view, or nil.
	onView func()
	// history holds the local copy: the latest view and what is needed to compute changes
	// since earlier ones; nil before the first view.
	history atomic.Pointer[watcher.History[[]byte]]
	// fetching is set during a fetch of a view from a peer.
	fetching atomic.Bool

	// mu guards decoded and retained, and orders the calls of onUpdate.
	mu sync.Mutex
	// decoded holds the decoded objects by name.
	decoded map[string]decodedObject[T]
	// retained holds the objects that count.
	retained retainer.Retainer[T]
}

// decodedObject is an object of a collection after decoding.
type decodedObject[T any] struct {
	// name is the object's name without the prefix of the collection.
	name string
	// revision is the store's revision of the object, in the era of the view that it is from.
	revision uint64
	era      uint64
	// data is what value was decoded from.
	data  []byte
	value T
	// err is why the value could not be decoded, or nil.
	err error
}

var _ reflector = (*typedReflector[int])(nil)

// newReflector returns a reflector and registers a handler with which peers fetch its
// view. The topic of the handler is unique to the collection.
func newReflector[T any](
	s *Steerer,
	collection Collection[T],
	retained retainer.Retainer[T],
	onUpdate func([]retainer.Entry[T], storer.Position),
) *typedReflector[T] {
	r := &typedReflector[T]{
		steerer:    s,
		collection: collection,
		topic:      "Feed/" + collection.Prefix,
		onUpdate:   onUpdate,
		decoded:    map[string]decodedObject[T]{},
		retained:   retained,
	}
	r.watcher = watcher.New[[]byte](s.platform.Store, collection.Prefix, r.shouldWatch)
	r.watcher.WithWatchTimeout(s.watchWait).WithPause(collection.PauseMillis)
	query := handler.QueryFunc[DeltaRequest, watcher.Delta[[]byte]](
		func(_ context.Context, request DeltaRequest) (watcher.Delta[[]byte], error) {
			if history := r.history.Load(); history != nil {
				return history.Since(request.position()), nil
			}
			return watcher.Delta[[]byte]{}, nil
		},
	)
	linker.Handle(s.hub, r.topic, query, deltaRequestCodec, deltaCodec)
	return r
}

// withOnView sets the function that is called for each new view, and returns the reflector. It
// must be called before run.
func (r *typedReflector[T]) withOnView(onView func()) *typedReflector[T] {
	r.onView = onView
	return r
}

// shouldWatch reports whether this instance is to watch the collection itself. It is if
// the instance watches the platform, or if it has no copy yet and none was fetched from a
// peer within initialPeerWait of its start. Without a copy of the collection of instances
// it watches that one at once, because it shows who the peers are.
func (r *typedReflector[T]) shouldWatch() bool {
	s := r.steerer
	if s.watching.Load() {
		return true
	}
	if r.history.Load() != nil {
		return false
	}
	return r.collection.Prefix == s.platform.Members.Prefix || time.Since(s.startedAt) > initialPeerWait
}

func (r *typedReflector[T]) run(ctx context.Context) error {
	return r.watcher.Run(ctx, r.applyView, r.steerer.storeAnswered, r.steerer.storeFailed)
}

func (r *typedReflector[T]) restartWatch() {
	r.watcher.Restart()
}

func (r *typedReflector[T]) recheckWatch() {
	r.watcher.Recheck()
}

// view returns the latest view, which is empty before the first one.
func (r *typedReflector[T]) view() watcher.View[[]byte] {
	if history := r.history.Load(); history != nil {
		return history.View()
	}
	return watcher.View[[]byte]{}
}

func (r *typedReflector[T]) observeEra(era uint64) {
	r.watcher.ObserveEra(era)
}

func (r *typedReflector[T]) position() storer.Position {
	return r.view().Position()
}

// applyView stores a new view and passes the objects that count to onUpdate.
func (r *typedReflector[T]) applyView(view watcher.View[[]byte]) {
	next := watcher.NewHistory(view)
	if history := r.history.Load(); history != nil {
		next = history.WithView(view)
	}
	r.history.Store(&next)
	r.steerer.observeEra(view.Position())
	// A peer's view may be of an earlier era than the one that another collection has told.
	r.watcher.ObserveEra(r.steerer.storeEra.Load())
	r.updateRetained(view)
	if r.steerer.watching.Load() {
		r.steerer.hub.HeartbeatPlaceNow()
	}
}

// updateRetained passes the objects that count with a new view to onUpdate.
func (r *typedReflector[T]) updateRetained(view watcher.View[[]byte]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retained = r.retained.WithView(view.Position(), r.decodeChanged(view), time.Now())
	r.onUpdate(r.retained.Counted(), view.Position())
	if r.onView != nil {
		r.onView()
	}
}

func (r *typedReflector[T]) refresh(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.retained.IsDue(now) {
		return
	}
	r.retained = r.retained.WithTime(now)
	r.onUpdate(r.retained.Counted(), r.position())
}

// holds reports whether the decoded object is that of a view of an era. If the store has
// returned from an older copy since, the revision says nothing, and equal bytes are taken for
// the same write: a value that counts from its decoding, such as a time, must not begin anew.
func (d decodedObject[T]) holds(object storer.Object[[]byte], era uint64) bool {
	return bytes.Equal(d.data, object.Value) && (d.era != era || d.revision == object.Revision)
}

// withRevision returns a copy at that revision of an era.
func (d decodedObject[T]) withRevision(revision, era uint64) decodedObject[T] {
	d.revision = revision
	d.era = era
	return d
}

// entry returns the object as the retainer takes it.
func (d decodedObject[T]) entry() retainer.Entry[T] {
	return retainer.Entry[T]{
		Name:     d.name,
		Revision: d.revision,
		Value:    d.value,
	}
}

// decodeChanged decodes the objects that have changed, and returns all usable objects of
// the view. An object that cannot be decoded is left out, and logged once for each of
// its revisions. The caller holds mu.
func (r *typedReflector[T]) decodeChanged(view watcher.View[[]byte]) []retainer.Entry[T] {
	next := make(map[string]decodedObject[T], len(view.Objects))
	usable := make([]retainer.Entry[T], 0, len(view.Objects))
	for _, object := range view.Objects {
		decoded, found := r.decoded[object.Name]
		if !found || !decoded.holds(object, view.Era) {
			decoded = r.decodeObject(object)
		}
		decoded = decoded.withRevision(object.Revision, view.Era)
		next[object.Name] = decoded
		if decoded.err == nil {
			usable = append(usable, decoded.entry())
		}
	}
	r.decoded = next
	return usable
}

// errOtherCollection means that an object's name does not have the prefix of the collection.
var errOtherCollection = errors.New("the name is not one of this collection")

func (r *typedReflector[T]) decodeObject(object storer.Object[[]byte]) decodedObject[T] {
	decoded := decodedObject[T]{
		data: object.Value,
	}
	var found bool
	if decoded.name, found = strings.CutPrefix(object.Name, r.collection.Prefix); found {
		decoded.value, decoded.err = r.collection.Codec.Decode(object.Value)
	} else {
		decoded.err = errOtherCollection
	}
	if decoded.err != nil {
		r.steerer.log.Warn().
			Str("Object", object.Name).
			Uint64("Revision", object.Revision).
			Err(decoded.err).
			Msg("ObjectUnusable")
	}
	return decoded
}

func (r *typedReflector[T]) fetchIfBehind(peer registrar.Member, peerPosition storer.Position) {
	if !r.isBehind(peerPosition) || !r.fetching.CompareAndSwap(false, true) {
		return
	}
	r.steerer.hub.Go(func() {
		defer r.fetching.Store(false)
		r.fetchView(peer, peerPosition)
	})
}

// isBehind reports whether a peer's copy is later than the local one. A peer of a build that
// does not report the era counts as being in the era of the local copy.
func (r *typedReflector[T]) isBehind(peerPosition storer.Position) bool {
	local := r.position()
	if peerPosition.Era == 0 {
		peerPosition.Era = local.Era
	}
	return peerPosition.IsAfter(local)
}

// fetchView fetches the changes up to at least peerPosition from a peer, and offers the
// result to the watcher. It first waits for peerFetchDelay in case the platform reports
// the change; an instance that receives its changes from this peer does not wait.
func (r *typedReflector[T]) fetchView(peer registrar.Member, peerPosition storer.Position) {
	s := r.steerer
	ctx, cancel := context.WithTimeout(s.lifecycle.Work(), fetchTimeout)
	defer cancel()
	wait := peerFetchDelay
	if s.receivesFrom(peer) {
		wait = 0
	}
	if !sleep(ctx, wait) || !r.isBehind(peerPosition) {
		return
	}
	base := r.view()
	request := DeltaRequest{
		Revision: base.Revision,
		Era:      base.Era,
	}
	delta, err := linker.Call(ctx, s.hub, peer.Incarnation, r.topic, request, deltaRequestCodec, deltaCodec)
	if err != nil {
		s.log.Warn().Str("Peer", peer.Name).Str("Topic", r.topic).Err(err).Msg("RelayFailed")
		return
	}
	if delta.Era == 0 {
		delta = delta.WithEra(base.Era)
	}
	view, applies := delta.Apply(base)
	r.logRelayed(peer, base, delta, applies)
	if !applies {
		return
	}
	s.viewFetched(peer)
	r.watcher.Offer(view)
}

// logRelayed logs the changes that a peer has sent, and whether they apply to the view that they
// were requested for.
func (r *typedReflector[T]) logRelayed(
	peer registrar.Member,
	base watcher.View[[]byte],
	delta watcher.Delta[[]byte],
	applies bool,
) {
	r.steerer.log.Info().
		Str("Peer", peer.Name).
		Str("Topic", r.topic).
		Uint64("Era", delta.Era).
		Uint64("Revision", delta.Revision).
		Uint64("EraBefore", base.Era).
		Uint64("Before", base.Revision).
		Int("Changed", len(delta.Objects)).
		Int("Removed", len(delta.Removed)).
		Bool("Applies", applies).
		Msg("Relayed")
}
