package usagereporter

import (
	"slices"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/leaser"
	"github.com/hemlockport/hemlockport/pkg/command/meter"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// The topics on which the instances exchange what the duty needs.
const (
	// topicCounts is for what one instance has counted, to the leaders of its failure domain,
	// and topicSums for what a leader has summed, to the holder.
	topicCounts = "UsageCounts"
	topicSums   = "UsageSums"
	// topicRecord is for the record of the duty, and topicClock for what a clock shows.
	topicRecord = "UsageRecord"
	topicClock  = "UsageClock"
)

const (
	// exchangeInterval is the time between two rounds in which counts are sent. Rounds are
	// aligned with true time, so that one follows each end of a window: that of the instances
	// after countsDelay and that of the leaders after sumsDelay, when the former have arrived.
	exchangeInterval = time.Second
	countsDelay      = 100 * time.Millisecond
	sumsDelay        = 700 * time.Millisecond
	// clockInterval is the time between two reports of the clock, and clockReceivers how many
	// peers get each. Each instance thus knows the clocks of that many peers.
	clockInterval  = 2 * time.Second
	clockReceivers = 4
)

// countsMessage holds cumulative counts: each window replaces what the sender sent before.
type countsMessage struct {
	_ struct{} `cbor:",toarray"`
	// Number rises with each message of the sender. A link may hand messages over in another
	// order, above all those that arrived while the receiver was frozen.
	Number uint64
	// Place is the failure domain of sums; empty for the counts of one instance.
	Place string
	// Through is the latest window that is summed to its end.
	Through int64
	Windows []meter.WindowCounts
}

// recordMessage is the record of the duty as its holder has written it.
type recordMessage struct {
	_        struct{} `cbor:",toarray"`
	Era      uint64
	Revision uint64
	Record   leaser.Record[meter.Ledger]
}

// clockMessage is what the sender's clock shows, in nanoseconds since the Unix epoch.
type clockMessage struct {
	_         struct{} `cbor:",toarray"`
	UnixNanos int64
}

var (
	countsCodec        = encoder.CBOR[countsMessage]{}
	recordMessageCodec = encoder.CBOR[recordMessage]{}
	clockCodec         = encoder.CBOR[clockMessage]{}
	recordCodec        = encoder.CBOR[leaser.Record[meter.Ledger]]{}
)

// registerHandlers applies the messages of peers. The handlers do not block.
func (r *Reporter) registerHandlers() {
	linker.Receive(r.options.Hub, topicCounts, countsCodec, r.receiveCounts)
	linker.Receive(r.options.Hub, topicSums, countsCodec, r.receiveSums)
	linker.Receive(r.options.Hub, topicRecord, recordMessageCodec, r.receiveRecord)
	linker.Receive(r.options.Hub, topicClock, clockCodec, r.receiveClock)
}

func (r *Reporter) receiveCounts(from registrar.Member, received countsMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, counted := range received.Windows {
		if r.isPlausible(counted.Window) {
			r.members.Set(from.Incarnation, received.Number, counted)
		}
	}
}

// isPlausible reports whether a window may have begun and can still be reported. Counts of a later
// one, from an instance whose clock is wrong, would displace those that are kept, and those of a
// very early one would never be removed. The caller holds mu.
func (r *Reporter) isPlausible(window int64) bool {
	current := meter.WindowAt(r.trueTime(), r.schedule.Length)
	return window <= current+1 && window > current-meter.Retained
}

func (r *Reporter) receiveSums(from registrar.Member, received countsMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setSums(from, received)
}

// setSums records what a leader has summed. The caller holds mu.
func (r *Reporter) setSums(from registrar.Member, received countsMessage) {
	place, found := r.places[received.Place]
	if !found {
		place = &placeCounts{
			tally: meter.NewTally(),
		}
		r.places[received.Place] = place
	}
	for _, counted := range received.Windows {
		if r.isPlausible(counted.Window) {
			place.tally.Set(from.Incarnation, received.Number, counted)
		}
	}
	if r.isPlausible(received.Through) {
		place.through = max(place.through, received.Through)
	}
}

// receiveRecord takes over a record of the duty. A leader passes on what it got from another
// failure domain.
func (r *Reporter) receiveRecord(from registrar.Member, received recordMessage) {
	r.mu.Lock()
	before := r.state.View().Position
	r.state = r.state.Relayed(leaser.View[meter.Ledger]{
		Position: storer.Position{
			Era:      received.Era,
			Revision: received.Revision,
		},
		Record: received.Record,
	}, r.now())
	r.status.update(r.state)
	var messages []message
	if r.state.View().Position != before && from.Place != r.options.Self.Place && r.isLeader() {
		messages = r.recordMessages(r.fleet.Place.Members)
	}
	r.mu.Unlock()
	for _, message := range messages {
		message.send(r)
	}
}

func (r *Reporter) receiveClock(from registrar.Member, received clockMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clocks = r.clocks.WithPeer(from.Incarnation, time.Unix(0, received.UnixNanos), r.now())
}

// message is a message that is to be sent once mu is no longer held.
type message struct {
	send func(r *Reporter)
}

func newMessage[C any](to registrar.Member, topic string, body C, codec handler.Codec[C]) message {
	return message{
		send: func(r *Reporter) {
			if err := linker.Send(r.options.Hub, to.Incarnation, topic, body, codec); err != nil {
				r.options.Log.Debug().Str("Peer", to.Name).Str("Topic", topic).Err(err).Msg("UsageUntold")
				r.mu.Lock()
				defer r.mu.Unlock()
				r.outbox.Forget(to.Incarnation)
				r.outbox.Forget(topicSums + to.Incarnation)
				delete(r.sentThrough, to.Incarnation)
			}
		},
	}
}

// dueMessages returns the messages that are due. The caller holds mu.
func (r *Reporter) dueMessages() []message {
	if r.linkChanges != r.fleet.Changes {
		// What was under way on a link that has closed is lost.
		r.linkChanges = r.fleet.Changes
		r.outbox.ForgetAll()
		clear(r.sentThrough)
	}
	now := r.trueTime()
	var messages []message
	if step := now.Add(-countsDelay).UnixNano() / int64(exchangeInterval); step != r.countsStep {
		r.countsStep = step
		messages = append(messages, r.countsMessages(now)...)
	}
	if step := now.Add(-sumsDelay).UnixNano() / int64(exchangeInterval); step != r.sumsStep {
		r.sumsStep = step
		messages = append(messages, r.sumsMessages(now)...)
	}
	if step := now.UnixNano() / int64(clockInterval); step != r.clockStep {
		r.clockStep = step
		messages = append(messages, r.clockMessages()...)
	}
	return messages
}

// countsMessages returns what this instance has counted, for the leaders of its failure domain.
// The caller holds mu.
func (r *Reporter) countsMessages(now time.Time) []message {
	windows := r.counter.Windows(meter.WindowAt(now, r.schedule.Length) - meter.Retained)
	r.messageNumber++
	for _, counted := range windows {
		r.members.Set(r.options.Self.Incarnation, r.messageNumber, counted)
	}
	var messages []message
	for _, leader := range r.fleet.Place.Leaders() {
		if r.isSelf(leader) {
			continue
		}
		if changed := r.outbox.Take(leader.Incarnation, windows); len(changed) > 0 {
			messages = append(messages, newMessage(leader, topicCounts, countsMessage{
				Number:  r.messageNumber,
				Windows: changed,
			}, countsCodec))
		}
	}
	return messages
}

// sumsMessages returns the sums of this failure domain for the holder, if this instance is one of
// its leaders. The first one sends what changes. The others send after each window only, so that
// the holder has their sums if the first one has just frozen or died. The caller holds mu.
func (r *Reporter) sumsMessages(now time.Time) []message {
	leaders := r.fleet.Place.Leaders()
	number := slices.IndexFunc(leaders, r.isSelf)
	if len(leaders) > 0 && number < 0 {
		return nil
	}
	through := meter.WindowAt(now.Add(-sumsDelay), r.schedule.Length) - 1
	record := r.state.View().Record
	isSent := r.sentThrough[record.Machine] == through
	if record.Machine == "" || number > 0 && isSent {
		return nil
	}
	r.messageNumber++
	sums := countsMessage{
		Number:  r.messageNumber,
		Place:   r.options.Self.Place,
		Through: through,
		Windows: r.members.Sums(through - meter.Retained),
	}
	if r.state.Holds() || record.Machine == r.options.Self.Incarnation {
		r.setSums(r.options.Self, sums)
		return nil
	}
	sums.Windows = r.outbox.Take(topicSums+record.Machine, sums.Windows)
	if len(sums.Windows) == 0 && isSent {
		return nil
	}
	r.sentThrough[record.Machine] = through
	holder := registrar.Member{
		Name:        record.Name,
		Incarnation: record.Machine,
	}
	return []message{newMessage(holder, topicSums, sums, countsCodec)}
}

// clockMessages returns what the own clock shows, for the peers that follow this instance in the
// order of names. The caller holds mu.
func (r *Reporter) clockMessages() []message {
	var others []registrar.Member
	for _, place := range r.fleet.Places {
		others = append(others, place.Members...)
	}
	others = slices.DeleteFunc(others, r.isSelf)
	slices.SortFunc(others, func(a, b registrar.Member) int { return strings.Compare(a.Name, b.Name) })
	after, _ := slices.BinarySearchFunc(others, r.options.Self.Name, func(other registrar.Member, name string) int {
		return strings.Compare(other.Name, name)
	})
	others = append(others[after:], others[:after]...)
	own := clockMessage{
		UnixNanos: r.wall().UnixNano(),
	}
	var messages []message
	for _, peer := range others[:min(len(others), clockReceivers)] {
		messages = append(messages, newMessage(peer, topicClock, own, clockCodec))
	}
	return messages
}

// recordMessages returns the record for the given instances. The caller holds mu.
func (r *Reporter) recordMessages(receivers []registrar.Member) []message {
	view := r.state.View()
	body := recordMessage{
		Era:      view.Position.Era,
		Revision: view.Position.Revision,
		Record:   view.Record,
	}
	var messages []message
	for _, receiver := range receivers {
		if !r.isSelf(receiver) {
			messages = append(messages, newMessage(receiver, topicRecord, body, recordMessageCodec))
		}
	}
	return messages
}

// holderMessages returns the record for the leaders of all failure domains and the instances of
// this one. The caller holds mu.
func (r *Reporter) holderMessages() []message {
	receivers := slices.Clone(r.fleet.Place.Members)
	for _, place := range r.fleet.Places {
		if place.Name != r.options.Self.Place {
			receivers = append(receivers, place.Leaders()...)
		}
	}
	return r.recordMessages(receivers)
}

// fleetCounts returns the counts of all instances in a window, and whether the leaders of all
// failure domains have summed it. It returns nil if too few of the others are linked to know, or
// if some may not have sent their sums to this new holder yet. The caller holds mu.
func (r *Reporter) fleetCounts(window int64) (meter.Counts, bool) {
	if !r.fleet.Eligible {
		return nil, false
	}
	total := meter.Counts{}
	for _, place := range r.places {
		total = total.Plus(place.tally.Highest(window))
	}
	for _, place := range r.fleet.Places {
		if known, found := r.places[place.Name]; !found || known.through < window {
			if r.now() < r.term.gatherUntil {
				return nil, false
			}
			r.incomplete = window
			return total, false
		}
	}
	if r.incomplete == window {
		r.incomplete = 0
	}
	return total, true
}
