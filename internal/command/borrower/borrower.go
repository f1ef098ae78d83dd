// Package borrower carries the asks and answers of sharer desks between
// instances.
package borrower

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/sharer"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/holder"
)

// The names under which peers take asks and settlements.
const (
	topicLend   = "Lend"
	topicSettle = "Settle"
)

// idleEvery is the time between two looks at whether a desk is in use.
const idleEvery = 50 * time.Millisecond

// Ask is a sharer.Ask on a link. The link tells who asks.
type Ask struct {
	Number         uint64
	Resource       string
	Units          int
	PatienceMillis int
}

// Grant is a sharer.Grant on a link. The frame tells which ask it answers.
type Grant struct {
	Units int
}

// Settlement is a sharer.Settlement on a link. The link tells whose it is.
type Settlement struct {
	Number   uint64
	Resource string
	Unused   int `cbor:",omitempty"`
}

// Settled is what came of settlements.
type Settled struct {
	Loans int
}

var (
	asks        = encoder.CBOR[Ask]{}
	grants      = encoder.CBOR[Grant]{}
	settlements = encoder.CBOR[[]Settlement]{}
	settleds    = encoder.CBOR[Settled]{}
)

// Borrower pumps the desks of the plan in force. Safe for many goroutines.
type Borrower struct {
	hub   *linker.Hub
	plans *holder.Cell[admitter.Plan]
	// wakes asks for a pump at once.
	wakes  chan struct{}
	asked  metrics.Counter
	missed metrics.Counter
	lent   metrics.Counter
}

// New returns a borrower and lets peers borrow from this instance.
func New(hub *linker.Hub, plans *holder.Cell[admitter.Plan], registry metrics.Registry) *Borrower {
	borrower := &Borrower{
		hub:    hub,
		plans:  plans,
		wakes:  make(chan struct{}, 1),
		asked:  metrics.GetOrRegisterCounter("hemlockport_share_asks_total", registry),
		missed: metrics.GetOrRegisterCounter("hemlockport_share_asks_missed_total", registry),
		lent:   metrics.GetOrRegisterCounter("hemlockport_share_units_lent_total", registry),
	}
	lend := handler.CommandFunc[Ask, Grant](borrower.lend)
	settle := handler.CommandFunc[[]Settlement, Settled](borrower.settle)
	linker.HandleCommand(hub, topicLend, lend, asks, grants)
	linker.HandleCommand(hub, topicSettle, settle, settlements, settleds)
	return borrower
}

// Run pumps the desks that are in use until ctx ends.
func (b *Borrower) Run(ctx context.Context) error {
	timer := time.NewTimer(idleEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-b.wakes:
		}
		timer.Reset(b.pump(ctx))
	}
}

// pump pumps the desks that are due, and returns the time until one is due again.
func (b *Borrower) pump(ctx context.Context) time.Duration {
	now := time.Now()
	wait := idleEvery
	for _, desk := range b.plans.Load().Desks() {
		next := desk.NextPump(now)
		if next.IsZero() {
			continue
		}
		if !now.Before(next) {
			work := desk.Pump(now)
			b.do(ctx, desk, work)
			next = work.Next
		}
		if !next.IsZero() {
			wait = min(wait, max(next.Sub(now), sharer.PumpEvery))
		}
	}
	return wait
}

// Wake pumps the desks at once.
func (b *Borrower) Wake() {
	select {
	case b.wakes <- struct{}{}:
	default:
		// A pump is asked for already.
	}
}

// do sends what a desk wants sent.
func (b *Borrower) do(ctx context.Context, desk *sharer.Desk, work sharer.Work) {
	for _, directed := range work.Asks {
		b.hub.Go(func() { b.ask(ctx, desk, directed) })
	}
	b.sendSettlements(work.Settlements)
}

func (b *Borrower) ask(ctx context.Context, desk *sharer.Desk, directed sharer.Directed) {
	b.asked.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, sharer.AnswerLimit)
	defer cancel()
	ask := Ask{
		Number:         directed.Ask.Serial.Number,
		Resource:       directed.Ask.Resource,
		Units:          directed.Ask.Units,
		PatienceMillis: directed.Ask.PatienceMillis,
	}
	grant, err := linker.Ask(ctx, b.hub, directed.Holder, topicLend, ask, asks, grants)
	if err != nil {
		b.missed.Inc(1)
		desk.Miss(directed.Ask.Serial.Number, time.Now())
		return
	}
	received := sharer.Grant{
		Serial: directed.Ask.Serial,
		Units:  grant.Units,
	}
	b.sendSettlements(desk.Receive(directed.Holder, received, time.Now()))
	b.Wake()
}

// sendSettlements sends each lender its settlements in one message. One that is
// lost costs the lender the room until the loan's end.
func (b *Borrower) sendSettlements(all []sharer.Settlement) {
	byHolder := map[string][]Settlement{}
	for _, settlement := range all {
		byHolder[settlement.Holder] = append(byHolder[settlement.Holder], Settlement{
			Number:   settlement.Serial.Number,
			Resource: settlement.Resource,
			Unused:   settlement.Unused,
		})
	}
	for lender, theirs := range byHolder {
		if linker.Tell(b.hub, lender, topicSettle, theirs, settlements) != nil {
			b.missed.Inc(1)
		}
	}
}

// lend answers a peer's ask, when its turn comes.
func (b *Borrower) lend(ctx context.Context, ask Ask) (Grant, error) {
	desk, found := b.plans.Load().Desk(ask.Resource)
	if !found {
		return Grant{}, nil
	}
	asked := sharer.Ask{
		Serial:         serialOf(ctx, ask.Number),
		Resource:       ask.Resource,
		Units:          ask.Units,
		PatienceMillis: ask.PatienceMillis,
	}
	answer := make(chan sharer.Grant, 1)
	desk.Lend(asked, time.Now(), func(grant sharer.Grant) { answer <- grant })
	b.Wake()
	select {
	case grant := <-answer:
		b.lent.Inc(int64(grant.Units))
		return Grant{
			Units: grant.Units,
		}, nil
	case <-ctx.Done():
		return Grant{}, ctx.Err()
	}
}

// settle takes back what a peer uses no longer.
func (b *Borrower) settle(ctx context.Context, theirs []Settlement) (Settled, error) {
	now := time.Now()
	for _, settlement := range theirs {
		if desk, found := b.plans.Load().Desk(settlement.Resource); found {
			desk.Account.Settle(serialOf(ctx, settlement.Number), settlement.Unused, now)
		}
	}
	b.Wake()
	return Settled{
		Loans: len(theirs),
	}, nil
}

// serialOf returns the serial of the asking peer.
func serialOf(ctx context.Context, number uint64) sharer.Serial {
	return sharer.Serial{
		Borrower: linker.PeerOf(ctx).Incarnation,
		Number:   number,
	}
}
