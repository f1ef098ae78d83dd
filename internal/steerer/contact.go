package steerer

import (
	"time"

	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

const (
	// maxPause is the longest time between two rounds of refreshLoop after which this
	// instance still counts as having run all the time.
	maxPause = 6 * time.Second
	// maxStoreAge is how old the last answer of the platform may be, to this instance or a
	// peer, for the list of instances to count as known.
	maxStoreAge = 12 * time.Second
	// maxUnlinked is how long a listed instance may be unlinked, if the list does not count as
	// known, before this instance's parts lapse. That instance may remove this one after
	// removeAfter less linkTimeout, and uses its parts apportioner.DrainWait later.
	maxUnlinked = 8 * time.Second
	// maxRemoverStoreAge is how old the last answer of the platform may be for this instance to
	// remove others. It is the primary watcher then, whose watches last for primaryWatchWait.
	maxRemoverStoreAge = 8 * time.Second
	// ageStep is the step of the age that heartbeats report. Ages up to ageStep are reported
	// as 0, so that heartbeats stay the same in calm. maxHeartbeatDelay is the longest time
	// that one is in transit.
	ageStep           = 4 * time.Second
	maxHeartbeatDelay = time.Second
	// lapsedSeatDivisor divides what the seat of a lapsed instance gives. What the others
	// have split between them and this part stay under the overshoot that cold upstreams bear.
	lapsedSeatDivisor = 2
)

// contact is what this instance knows of its contact with the others. An instance that has
// lost it may be removed from the list of instances without learning of it, and its parts of
// limits be used by others.
type contact struct {
	// store is when the platform last answered, this instance or, as heartbeats tell, a peer.
	store *admitter.Freshness
	// checkedAt is when updateContact last ran; zero before. Only refreshLoop uses this and the
	// fields below.
	checkedAt time.Time
	// unlinkedSince is since when a listed instance is not linked; zero if all are.
	unlinkedSince time.Time
	// links and roster are what unlinkedSince was determined from: Hub.Changes and the roster.
	links  uint64
	roster *registrar.Roster
	// linksTrustedFrom is the time from which a missing link may be taken for the other
	// instance's death.
	linksTrustedFrom time.Time
	// lapsed is whether this instance's parts had lapsed at the last check.
	lapsed bool
}

func newContact(now time.Time) *contact {
	return &contact{
		store: admitter.NewFreshness(now),
	}
}

// storeAge returns how old the last answer of the platform is.
func (c *contact) storeAge(now time.Time) time.Duration {
	return now.Sub(c.store.ConfirmedAt())
}

// reportedAge returns the age of the platform's last answer as heartbeats report it.
func (c *contact) reportedAge(now time.Time) time.Duration {
	age := c.storeAge(now)
	if age <= ageStep {
		return 0
	}
	return (age + ageStep - 1).Truncate(ageStep)
}

// heartbeatReceived records when the platform last answered a peer.
func (s *Steerer) heartbeatReceived(heartbeat linker.Heartbeat) {
	s.contact.store.Confirm(time.Now().Add(-receivedAge(heartbeat)))
}

// receivedAge returns how old the platform's last answer, as a heartbeat tells it, is at most.
func receivedAge(heartbeat linker.Heartbeat) time.Duration {
	return max(time.Duration(heartbeat.AgeMillis)*time.Millisecond, ageStep) + maxHeartbeatDelay
}

// distrustLinks records that a missing link says nothing about the other instance until
// removeAfter has passed again.
func (c *contact) distrustLinks(now time.Time) {
	c.linksTrustedFrom = now
}

// paused reports whether this instance was paused before the check at a time, and records
// the check. It measures by both clocks: the monotonic clock may stand still while the
// machine sleeps, and the wall clock may be set back.
func (c *contact) paused(now time.Time) bool {
	before := c.checkedAt
	c.checkedAt = now
	if before.IsZero() {
		return false
	}
	return max(now.Sub(before), now.Round(0).Sub(before.Round(0))) > maxPause
}

// isLost reports whether this instance may have been removed by another one at a time.
func (c *contact) isLost(now time.Time) bool {
	return !c.unlinkedSince.IsZero() &&
		now.Sub(c.unlinkedSince) >= maxUnlinked &&
		c.storeAge(now) > maxStoreAge
}

// updateContact checks whether this instance has lost contact with the others, and makes its
// parts of limits lapse then. After a pause the links have still to show that they work, and
// the parts lapse until the others have confirmed a new report.
func (s *Steerer) updateContact(now time.Time) {
	paused := s.contact.paused(now)
	if paused {
		s.contact.distrustLinks(now)
	}
	s.planMu.Lock()
	s.markLinks(now)
	if paused || s.contact.isLost(now) {
		s.apportioner.Lapse(now)
	} else {
		s.apportioner.Regain()
	}
	lapsed := s.apportioner.Lapsed()
	s.planMu.Unlock()
	if lapsed == s.contact.lapsed {
		return
	}
	s.contact.lapsed = lapsed
	s.updateSeats()
	s.log.Info().
		Bool("Lapsed", lapsed).
		Bool("Paused", paused).
		Time("UnlinkedSince", s.contact.unlinkedSince).
		Int64("StoreAgeMillis", s.contact.storeAge(now).Milliseconds()).
		Msg("PartsLapsed")
}

// markLinks tells the apportioner which of the listed instances are linked, if that has
// changed, and sets unlinkedSince. An instance that has announced its stop removes no other
// one, so it does not count as unlinked. The caller holds planMu.
func (s *Steerer) markLinks(now time.Time) {
	links, roster := s.hub.Changes(), s.roster.Load()
	if links == s.contact.links && roster == s.contact.roster {
		return
	}
	s.contact.links, s.contact.roster = links, roster
	allLinked := true
	for other := range s.otherMembers() {
		if s.hub.IsLinked(other.Incarnation) {
			s.apportioner.MarkLinked(other.Name)
			continue
		}
		s.apportioner.MarkLost(other.Name)
		if !s.apportioner.HasLeft(other.Name) {
			allLinked = false
		}
	}
	switch {
	case allLinked:
		s.contact.unlinkedSince = time.Time{}
	case s.contact.unlinkedSince.IsZero():
		s.contact.unlinkedSince = now
	}
}

// markLeft tells the apportioner that a peer has announced its stop.
func (s *Steerer) markLeft(peer registrar.Member) {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	s.apportioner.MarkLeft(peer.Name)
}
