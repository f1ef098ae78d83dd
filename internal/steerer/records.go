package steerer

import (
	"context"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/retrier"
)

const (
	// recordTimeout bounds one read of the records, or a read and a write of one of them.
	recordTimeout = 2 * time.Second
	// firstRecordBackoffMillis and longestRecordBackoffMillis bound the time between two attempts
	// to read the records, in milliseconds.
	firstRecordBackoffMillis   = 200
	longestRecordBackoffMillis = 8000
)

// requestRecords makes loadRecords read the records in the store that outlive the instances: the
// verdicts on versions, and what is reserved for removed instances.
func (s *Steerer) requestRecords() {
	select {
	case s.recordsRequested <- struct{}{}:
	default:
		// A read has already been requested.
	}
}

// loadRecords reads the records whenever that is requested, until ctx ends: at the start, when the
// store answers again, and when it has returned from an older copy. A read that fails is repeated,
// at once if another one is requested.
func (s *Steerer) loadRecords(ctx context.Context) error {
	backoff := retrier.NewBackoff(firstRecordBackoffMillis, longestRecordBackoffMillis)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.recordsRequested:
		}
		for !s.readRecords(ctx) {
			s.waitForRecords(ctx, backoff)
			if ctx.Err() != nil {
				return nil
			}
		}
		backoff.Reset()
	}
}

// waitForRecords waits before the records are read again, until another read is requested at most.
func (s *Steerer) waitForRecords(ctx context.Context, backoff *retrier.Backoff) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.hub.Go(func() {
		select {
		case <-s.recordsRequested:
			cancel()
		case <-ctx.Done():
		}
	})
	// An error means that the wait has ended early.
	_ = backoff.Wait(ctx)
}

// readRecords reads all records, and returns false if that fails.
func (s *Steerer) readRecords(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := s.readVerdicts(ctx)
	if err == nil {
		err = s.readReservations(ctx)
	}
	if err != nil && s.lifecycle.Work().Err() == nil {
		s.log.Warn().Err(err).Msg("RecordsUnread")
	}
	return err == nil
}
