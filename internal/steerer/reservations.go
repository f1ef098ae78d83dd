package steerer

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// Reservation is the record in the store of what is reserved for an instance that was removed
// while it may have been cut off (see apportioner.Reservation). Instances that start later read
// it. Its object has the name of the instance.
type Reservation struct {
	// UntilUnixMillis is when the reservation ends, in milliseconds since the Unix epoch.
	UntilUnixMillis int64
	Parts           []ReservedPart
}

// ReservedPart is the reserved fraction of a team's limit, from 0 to 1.
type ReservedPart struct {
	Team     string
	Fraction float64
}

// topicReservations is the topic on which an instance tells a peer that has just been linked what
// is reserved. Builds before it drop the message.
const topicReservations = "Reservations"

// reservations is the message with all reservations that an instance knows.
type reservations struct {
	_            struct{} `cbor:",toarray"`
	Reservations []reservation
}

// reservation is the encoding of an apportioner.Reservation on a link.
type reservation struct {
	_      struct{} `cbor:",toarray"`
	Member string
	// LeftMillis is the time until the reservation ends, in milliseconds.
	LeftMillis int64
	Parts      []ReservedPart
}

var (
	reservationCodec  = encoder.CBOR[Reservation]{}
	reservationsCodec = encoder.CBOR[reservations]{}
)

// newReservations converts reservations to their encoding on a link.
func newReservations(known []apportioner.Reservation, now time.Time) reservations {
	var message reservations
	for _, entry := range known {
		message.Reservations = append(message.Reservations, reservation{
			Member:     entry.Member,
			LeftMillis: entry.Until.Sub(now).Milliseconds(),
			Parts:      newReservedParts(entry.Parts),
		})
	}
	return message
}

// newReservedParts converts parts to the form in which they are stored and sent.
func newReservedParts(parts []apportioner.ReservedPart) []ReservedPart {
	var converted []ReservedPart
	for _, part := range parts {
		converted = append(converted, ReservedPart{
			Team:     part.Resource,
			Fraction: part.Fraction,
		})
	}
	return converted
}

// toApportioner converts a reservation for an instance that ends at a time to the apportioner's form.
func toApportioner(member string, until time.Time, parts []ReservedPart) apportioner.Reservation {
	converted := apportioner.Reservation{
		Member: member,
		Until:  until,
	}
	for _, part := range parts {
		converted.Parts = append(converted.Parts, apportioner.ReservedPart{
			Resource: part.Team,
			Fraction: part.Fraction,
		})
	}
	return converted
}

// registerReservationsHandler takes over the reservations that peers know.
func (s *Steerer) registerReservationsHandler() {
	linker.Receive(s.hub, topicReservations, reservationsCodec, func(_ registrar.Member, received reservations) {
		now := time.Now()
		s.planMu.Lock()
		defer s.planMu.Unlock()
		for _, entry := range received.Reservations {
			until := now.Add(time.Duration(entry.LeftMillis) * time.Millisecond)
			s.apportioner.Reserve(toApportioner(entry.Member, until, entry.Parts), now)
		}
	})
}

// reservationStore returns a typed view of the reservations in the store.
func (s *Steerer) reservationStore() storer.Typed[Reservation] {
	return storer.NewTyped(s.platform.Store, reservationCodec)
}

// takeReservations takes over reservations of the store, and returns the names of those that have
// ended.
func (s *Steerer) takeReservations(listed []storer.Object[[]byte], now time.Time) []string {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	var ended []string
	for _, object := range listed {
		member, found := strings.CutPrefix(object.Name, s.platform.ReservationPrefix)
		record, err := reservationCodec.Decode(object.Value)
		if !found || err != nil {
			s.log.Warn().Str("Object", object.Name).Err(err).Msg("ObjectUnusable")
			continue
		}
		until := time.UnixMilli(record.UntilUnixMillis)
		if member == s.self.Name || !now.Before(until) {
			ended = append(ended, object.Name)
			continue
		}
		s.apportioner.Reserve(toApportioner(member, until, record.Parts), now)
	}
	return ended
}

// recordReservation records in the store what is to be reserved for an instance that is about to
// be removed, unless it has announced that it stops.
func (s *Steerer) recordReservation(ctx context.Context, member string) error {
	s.planMu.Lock()
	next, reserves := s.apportioner.ReservationFor(member, time.Now())
	s.planMu.Unlock()
	if !reserves || len(next.Parts) == 0 {
		return nil
	}
	record := Reservation{
		UntilUnixMillis: next.Until.UnixMilli(),
		Parts:           newReservedParts(next.Parts),
	}
	_, err := s.reservationStore().Put(ctx, s.platform.ReservationPrefix+member, record, storer.Always())
	return err
}

// readReservations takes over the reservations in the store. It removes those that have ended, and
// that of this instance, which the list shows again. An object that cannot be decoded is left out.
func (s *Steerer) readReservations(ctx context.Context) error {
	listed, err := s.platform.Store.List(ctx, s.platform.ReservationPrefix)
	if err != nil {
		return err
	}
	ended := s.takeReservations(listed.Objects, time.Now())
	for _, name := range ended {
		if err := s.reservationStore().Delete(ctx, name, storer.Always()); err != nil && !errors.Is(err, storer.ErrNotFound) {
			return err
		}
	}
	s.log.Info().Int("Reservations", len(listed.Objects)).Int("Ended", len(ended)).Msg("ReservationsRead")
	return nil
}
