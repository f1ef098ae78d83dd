package steerer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/internal/command/verdictkeeper"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/mover"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// maxVerdictsWait is the longest time for which an instance that has started puts off its first
// declaration because it has not read the verdicts in the store.
const maxVerdictsWait = 2 * time.Second

// verdictRecords is what this instance knows of the records of verdicts in the store. They hold
// the verdicts on all versions that have been ordered, those on trial included, so that a version
// which was rolled back or replaced stays withheld when all instances end at once. They are written when a move
// begins or ends and when the last upstream of a version has been gone for long, by one instance
// for all, and read when an instance starts or the store answers it again. planMu guards it.
type verdictRecords struct {
	// complete is set while a service without an entry in stored has no record.
	complete bool
	// stored holds the records as they were last read or written, by the name of the service.
	stored map[string]verdictkeeper.Stored
	// turns holds, for each service whose record is to be replaced, when it is this instance's
	// turn to do so.
	turns map[string]time.Time
	// writing is set while a record is being replaced.
	writing bool
}

// topicVerdictRecord is the topic on which an instance that has written a record informs its
// peers, so that they need not write it. Builds before it drop the message.
const topicVerdictRecord = "VerdictRecord"

// verdictRecord is the encoding of a stored record on a link.
type verdictRecord struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Revision uint64
	Verdicts []verdict
}

// registerVerdictRecordHandler takes over the records that peers have written.
func (s *Steerer) registerVerdictRecordHandler() {
	linker.Receive(s.hub, topicVerdictRecord, verdictRecordCodec, func(peer registrar.Member, received verdictRecord) {
		stored := verdictkeeper.Stored{
			Revision: received.Revision,
			Verdicts: moverVerdicts(received.Verdicts),
		}
		s.planMu.Lock()
		defer s.planMu.Unlock()
		if known := s.verdictRecords.stored[received.Service]; known.Revision < stored.Revision {
			s.takeRecord(received.Service, stored, "peer "+peer.Name)
		}
	})
}

// takeRecord records what the store has for a service, and puts its verdicts into force. The
// caller holds planMu.
func (s *Steerer) takeRecord(service string, stored verdictkeeper.Stored, source string) {
	s.verdictRecords.stored[service] = stored
	s.addVerdicts(stored.Verdicts, source)
}

// readVerdicts reads the records of all services, and puts the declaration into force that has
// waited for them.
func (s *Steerer) readVerdicts(ctx context.Context) error {
	records, err := s.verdictKeeper.List(ctx)
	if err != nil {
		return err
	}
	s.takeRecords(records)
	s.verdictsRead.Store(true)
	s.endDeclarationWait()
	return nil
}

// awaitsVerdicts reports whether the first declaration is to be put off at a time because the
// verdicts on versions are not known. They are once they have been read, or if a linked peer serves
// requests, as peers tell them with their link. An instance that the store does not answer, and
// that has no such peer, waits for maxVerdictsWait.
func (s *Steerer) awaitsVerdicts(newestAtPeers uint64, now time.Time) bool {
	if s.verdictsRead.Load() || newestAtPeers > 0 {
		return false
	}
	s.firstOffer.CompareAndSwap(0, now.UnixNano())
	return now.Sub(time.Unix(0, s.firstOffer.Load())) < maxVerdictsWait
}

// takeRecords takes over all records of the store.
func (s *Steerer) takeRecords(records map[string]verdictkeeper.Stored) {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	before := s.inputs.verdicts.All()
	s.verdictRecords.complete = true
	for service, stored := range records {
		s.takeRecord(service, stored, "store")
	}
	if !slices.Equal(before, s.inputs.verdicts.All()) {
		// A peer that the store does not answer learns of them.
		s.informedPeers = nil
		s.hub.Go(func() { s.informNewPeers(time.Now()) })
	}
	s.log.Info().Int("Services", len(records)).Msg("VerdictsRead")
}

// forgetVerdictRecords forgets what the store had before it has returned from an older copy, and
// requests that the records be read again.
func (s *Steerer) forgetVerdictRecords() {
	s.planMu.Lock()
	s.verdictRecords.complete = false
	clear(s.verdictRecords.stored)
	s.planMu.Unlock()
	s.requestRecords()
}

// recordVerdicts replaces the record of a service whose verdicts have changed, if it is this
// instance's turn. It does not wait for the platform.
func (s *Steerer) recordVerdicts(now time.Time) {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	service, due := s.dueRecord(now)
	if !due || s.verdictRecords.writing || s.leaving.Load() || s.storeLostNanos.Load() != 0 {
		return
	}
	s.verdictRecords.writing = true
	s.verdictRecords.turns[service] = now.Add(reportTurnInterval * time.Duration(s.countOthers()+1))
	s.hub.Go(func() { s.replaceRecord(service) })
}

// dueRecord returns a service whose record is to be replaced and for which it is this instance's
// turn, or false if there is none. The caller holds planMu.
func (s *Steerer) dueRecord(now time.Time) (string, bool) {
	judged := s.judgedServices()
	if len(judged) == 0 {
		return "", false
	}
	registered := s.inputs.registeredIDs()
	dueService, due := "", false
	for service := range judged {
		stored, known := s.verdictRecords.stored[service]
		wanted := s.wantedRecord(service, stored, registered, now)
		if (known || s.verdictRecords.complete) && mover.SameStates(wanted, stored.Verdicts) {
			delete(s.verdictRecords.turns, service)
			continue
		}
		turn, waits := s.verdictRecords.turns[service]
		if !waits {
			turn = s.nextReportTurn(now)
			s.verdictRecords.turns[service] = turn
		}
		if !now.Before(turn) {
			dueService, due = service, true
		}
	}
	return dueService, due
}

// judgedServices returns the names of the services that may need a record or have one. The caller
// holds planMu.
func (s *Steerer) judgedServices() map[string]bool {
	judged := map[string]bool{}
	for service := range s.verdictRecords.stored {
		judged[service] = true
	}
	for service := range s.moves {
		judged[service] = true
	}
	for _, verdict := range s.inputs.verdicts.All() {
		judged[verdict.Service] = true
	}
	return judged
}

// wantedRecord returns the verdicts that the store should have for a service: those on versions
// that are registered or stored, and that a running move's version is on trial. The caller holds
// planMu.
func (s *Steerer) wantedRecord(
	service string,
	stored verdictkeeper.Stored,
	registered map[mover.VersionID]bool,
	now time.Time,
) []mover.Verdict {
	verdicts := s.inputs.verdicts
	if m, found := s.moves[service]; found && m.state == mover.Running {
		verdicts = verdicts.With(m.verdict(), now)
		registered = maps.Clone(registered)
		registered[m.versionID()] = true
	}
	return verdicts.Lasting(service, registered, stored.Verdicts)
}

// replaceRecord makes the record of a service hold the verdicts that this instance knows and those
// that the store has already, and informs the peers. If that fails, the record is read again at
// the next turn.
func (s *Steerer) replaceRecord(service string) {
	ctx, cancel := context.WithTimeout(s.lifecycle.Work(), recordTimeout)
	defer cancel()
	stored, err := s.knownRecord(ctx, service)
	if err == nil {
		stored, err = s.writeRecord(ctx, service, stored)
	}
	s.planMu.Lock()
	defer s.planMu.Unlock()
	s.verdictRecords.writing = false
	if err != nil {
		delete(s.verdictRecords.stored, service)
		s.verdictRecords.complete = false
		s.log.Warn().Str("Service", service).Err(err).Msg("VerdictsUnrecorded")
		return
	}
	s.takeRecord(service, stored, "store")
}

// knownRecord returns the record of a service, which it reads if this instance does not know it,
// and puts the verdicts into force that it holds.
func (s *Steerer) knownRecord(ctx context.Context, service string) (verdictkeeper.Stored, error) {
	s.planMu.Lock()
	stored, known := s.verdictRecords.stored[service]
	known = known || s.verdictRecords.complete
	s.planMu.Unlock()
	if known {
		return stored, nil
	}
	stored, err := s.verdictKeeper.Read(ctx, service)
	if err != nil {
		return stored, err
	}
	s.planMu.Lock()
	defer s.planMu.Unlock()
	s.takeRecord(service, stored, "store")
	return stored, nil
}

// writeRecord writes the record of a service, unless it holds the wanted verdicts already, and
// informs the peers.
func (s *Steerer) writeRecord(
	ctx context.Context,
	service string,
	stored verdictkeeper.Stored,
) (verdictkeeper.Stored, error) {
	s.planMu.Lock()
	wanted := s.wantedRecord(service, stored, s.inputs.registeredIDs(), time.Now())
	s.planMu.Unlock()
	if stored.Revision != 0 && mover.SameStates(wanted, stored.Verdicts) {
		return stored, nil
	}
	written, err := s.verdictKeeper.Write(ctx, service, stored, wanted)
	if err != nil {
		return stored, err
	}
	s.log.Info().Str("Service", service).Uint64("Revision", written.Revision).Int("Versions", len(wanted)).Msg("VerdictsRecorded")
	message := verdictRecord{
		Service:  service,
		Revision: written.Revision,
		Verdicts: newVerdictList(wanted),
	}
	for other := range s.otherMembers() {
		if err := linker.Send(s.hub, other.Incarnation, topicVerdictRecord, message, verdictRecordCodec); err != nil {
			s.log.Debug().Str("Peer", other.Name).Err(err).Msg("VerdictsUntold")
		}
	}
	return written, nil
}
