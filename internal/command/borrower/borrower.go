// Package borrower carries loan requests, grants and settlements between the limiters
// of package sharer on different instances.
//
// An ask is a loan request. The lender answers it with a grant of units of its part
// of a limit, and a settlement notifies the lender that the borrower no longer uses
// them. Whom to ask and what to lend is decided by sharer.Limiter.
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

// The topics of asks and settlements.
const (
	topicLend   = "Lend"
	topicSettle = "Settle"
)

// idleInterval is the time between two checks of the limiters while none of them has to
// be polled sooner.
const idleInterval = 50 * time.Millisecond

// Ask is the encoded form of a sharer.Ask on a link. The link identifies the borrower.
type Ask struct {
	Number         uint64
	Resource       string
	Units          int
	PatienceMillis int
}

// Grant is the encoded form of a sharer.Grant on a link. The frame identifies the ask
// that it answers.
type Grant struct {
	Units int
}

// Settlement is the encoded form of a sharer.Settlement on a link. The link
// identifies the borrower.
type Settlement struct {
	Number   uint64
	Resource string
	Unused   int `cbor:",omitempty"`
}

// Settled is the result of a message of settlements. Loans is the number of settlements
// in the message, also of unknown loans. Peers send the message as a one-way command, so
// the result is not sent.
type Settled struct {
	Loans int
}

var (
	askCodec         = encoder.CBOR[Ask]{}
	grantCodec       = encoder.CBOR[Grant]{}
	settlementsCodec = encoder.CBOR[[]Settlement]{}
	settledCodec     = encoder.CBOR[Settled]{}
)

// Borrower polls the limiters of the plan in force and sends the asks and settlements
// that they return. It also answers the asks of peers, so that it carries both sides of
// a loan. It is safe for concurrent use.
type Borrower struct {
	hub   *linker.Hub
	plans *holder.Cell[admitter.Plan]
	// wakeups receives a value when the limiters are to be polled at once.
	wakeups  chan struct{}
	asksSent metrics.Counter
	// failures counts asks without an answer and settlements that were not sent.
	failures  metrics.Counter
	unitsLent metrics.Counter
}

// New returns a borrower and registers the topics on which peers borrow from this
// instance.
func New(hub *linker.Hub, plans *holder.Cell[admitter.Plan], registry metrics.Registry) *Borrower {
	borrower := &Borrower{
		hub:       hub,
		plans:     plans,
		wakeups:   make(chan struct{}, 1),
		asksSent:  metrics.GetOrRegisterCounter("hemlockport_share_asks_total", registry),
		failures:  metrics.GetOrRegisterCounter("hemlockport_share_asks_missed_total", registry),
		unitsLent: metrics.GetOrRegisterCounter("hemlockport_share_units_lent_total", registry),
	}
	lend := handler.CommandFunc[Ask, Grant](borrower.lend)
	settle := handler.CommandFunc[[]Settlement, Settled](borrower.settle)
	linker.HandleCommand(hub, topicLend, lend, askCodec, grantCodec)
	linker.HandleCommand(hub, topicSettle, settle, settlementsCodec, settledCodec)
	return borrower
}

// Run polls the limiters of the plan in force when they are due, until ctx ends.
func (b *Borrower) Run(ctx context.Context) error {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-b.wakeups:
		}
		timer.Reset(b.poll(ctx))
	}
}

// poll polls the limiters that are due, and returns the time until the next poll.
func (b *Borrower) poll(ctx context.Context) time.Duration {
	now := time.Now()
	wait := idleInterval
	for _, limiter := range b.plans.Load().Limiters() {
		next := limiter.NextPoll(now)
		if next.IsZero() {
			continue
		}
		if !now.Before(next) {
			work := limiter.Poll(now)
			b.send(ctx, limiter, work)
			next = work.Next
		}
		if !next.IsZero() {
			wait = min(wait, max(next.Sub(now), sharer.PollInterval))
		}
	}
	return wait
}

// PollNow requests a poll of the limiters at once.
func (b *Borrower) PollNow() {
	select {
	case b.wakeups <- struct{}{}:
	default:
		// A poll is already requested.
	}
}

// send sends the asks and settlements of a poll.
func (b *Borrower) send(ctx context.Context, limiter *sharer.Limiter, work sharer.Work) {
	for _, directed := range work.Asks {
		b.hub.Go(func() { b.sendAsk(ctx, limiter, directed) })
	}
	b.sendSettlements(work.Settlements)
}

// sendAsk sends an ask and passes the grant, or the lack of an answer, to the
// limiter.
func (b *Borrower) sendAsk(ctx context.Context, limiter *sharer.Limiter, directed sharer.DirectedAsk) {
	b.asksSent.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, sharer.AnswerTimeout)
	defer cancel()
	ask := Ask{
		Number:         directed.Ask.Serial.Number,
		Resource:       directed.Ask.Resource,
		Units:          directed.Ask.Units,
		PatienceMillis: directed.Ask.LenderWaitMillis,
	}
	grant, err := linker.Call(ctx, b.hub, directed.Holder, topicLend, ask, askCodec, grantCodec)
	if err != nil {
		b.failures.Inc(1)
		limiter.TimeOut(directed.Ask.Serial.Number, time.Now())
		return
	}
	received := sharer.Grant{
		Serial: directed.Ask.Serial,
		Units:  grant.Units,
	}
	b.sendSettlements(limiter.Receive(directed.Holder, received, time.Now()))
	b.PollNow()
}

// sendSettlements sends each lender its settlements in one message. If the message
// is lost, the lender cannot use the capacity of the loans until they end.
func (b *Borrower) sendSettlements(settlements []sharer.Settlement) {
	byLender := map[string][]Settlement{}
	for _, settlement := range settlements {
		byLender[settlement.Holder] = append(byLender[settlement.Holder], Settlement{
			Number:   settlement.Serial.Number,
			Resource: settlement.Resource,
			Unused:   settlement.Unused,
		})
	}
	for lender, sent := range byLender {
		if linker.Send(b.hub, lender, topicSettle, sent, settlementsCodec) != nil {
			b.failures.Inc(1)
		}
	}
}

// lend answers a peer's ask: at once if units are in stock and there are no waiters,
// otherwise when its turn in the limiter's queue comes, and with no units when its wait
// limit ends. If ctx ends before that, units lent later are unusable until the loan
// expires.
func (b *Borrower) lend(ctx context.Context, ask Ask) (Grant, error) {
	limiter, found := b.plans.Load().Limiter(ask.Resource)
	if !found {
		return Grant{}, nil
	}
	request := sharer.Ask{
		Serial:           serialOf(ctx, ask.Number),
		Resource:         ask.Resource,
		Units:            ask.Units,
		LenderWaitMillis: ask.PatienceMillis,
	}
	answer := make(chan sharer.Grant, 1)
	limiter.Lend(request, time.Now(), func(grant sharer.Grant) { answer <- grant })
	b.PollNow()
	select {
	case grant := <-answer:
		b.unitsLent.Inc(int64(grant.Units))
		return Grant{
			Units: grant.Units,
		}, nil
	case <-ctx.Done():
		return Grant{}, ctx.Err()
	}
}

// settle ends the loans that a peer no longer uses, and puts their unused units back
// into stock.
func (b *Borrower) settle(ctx context.Context, settlements []Settlement) (Settled, error) {
	now := time.Now()
	for _, settlement := range settlements {
		if limiter, found := b.plans.Load().Limiter(settlement.Resource); found {
			limiter.Account.Settle(serialOf(ctx, settlement.Number), settlement.Unused, now)
		}
	}
	b.PollNow()
	return Settled{
		Loans: len(settlements),
	}, nil
}

// serialOf returns the serial of an ask of the peer that sent the current message.
func serialOf(ctx context.Context, number uint64) sharer.Serial {
	return sharer.Serial{
		Borrower: linker.PeerFromContext(ctx).Incarnation,
		Number:   number,
	}
}
