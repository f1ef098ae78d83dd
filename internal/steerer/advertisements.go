package steerer

import (
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/rationer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// topicAdvertisements is the topic on which instances tell each other what upstreams have
// said about themselves.
const topicAdvertisements = "Advertisements"

// advertisements is the encoding of a digest of package rationer on a link.
type advertisements struct {
	_         struct{} `cbor:",toarray"`
	Upstreams []advertisement
}

// advertisement is the encoding of a rationer.Notice on a link.
type advertisement struct {
	_           struct{} `cbor:",toarray"`
	Upstream    string
	Incarnation string
	Limited     bool
	PerSecond   float64
	AgeMillis   int64
	Leaving     bool
}

var advertisementsCodec = encoder.CBOR[advertisements]{}

// newAdvertisements converts a digest to its encoding on a link.
func newAdvertisements(digest []rationer.Notice) advertisements {
	message := advertisements{}
	for _, notice := range digest {
		message.Upstreams = append(message.Upstreams, advertisement{
			Upstream:    notice.Upstream,
			Incarnation: notice.Incarnation,
			Limited:     notice.Limited,
			PerSecond:   notice.PerSecond,
			AgeMillis:   notice.AgeMillis,
			Leaving:     notice.Leaving,
		})
	}
	return message
}

// digest converts received advertisements to the rationer's form.
func (a advertisements) digest() []rationer.Notice {
	digest := make([]rationer.Notice, 0, len(a.Upstreams))
	for _, received := range a.Upstreams {
		digest = append(digest, rationer.Notice{
			Upstream:    received.Upstream,
			Incarnation: received.Incarnation,
			Limited:     received.Limited,
			PerSecond:   received.PerSecond,
			AgeMillis:   received.AgeMillis,
			Leaving:     received.Leaving,
		})
	}
	return digest
}

// registerAdvertisementsHandler applies what peers have been told by upstreams.
func (s *Steerer) registerAdvertisementsHandler() {
	receive := func(peer registrar.Member, received advertisements) {
		s.planMu.Lock()
		defer s.planMu.Unlock()
		news := s.rationer.Receive(s.plans.Load(), received.digest(), time.Now())
		for _, upstream := range news {
			s.logAdvertisement(upstream, "peer "+peer.Name)
		}
	}
	linker.Receive(s.hub, topicAdvertisements, advertisementsCodec, receive)
}

// shareAdvertisements tells the peers what upstreams have said about themselves, if it is
// news.
func (s *Steerer) shareAdvertisements() {
	s.planMu.Lock()
	digest := s.rationer.NextDigest(s.plans.Load(), time.Now())
	s.planMu.Unlock()
	if len(digest) == 0 {
		return
	}
	message := newAdvertisements(digest)
	for other := range s.otherMembers() {
		if err := linker.Send(s.hub, other.Incarnation, topicAdvertisements, message, advertisementsCodec); err != nil {
			s.log.Debug().Str("Peer", other.Name).Err(err).Msg("AdvertisementsUntold")
		}
	}
}

// upstreamAdvertised logs what an upstream has said to this instance.
func (s *Steerer) upstreamAdvertised(upstream *admitter.Upstream) {
	s.logAdvertisement(upstream, "answer")
}

// logAdvertisement logs what an upstream has said, to this instance or to another one.
func (s *Steerer) logAdvertisement(upstream *admitter.Upstream, source string) {
	advertisement := upstream.Advertisement()
	line := s.log.Info().
		Str("Upstream", upstream.Declared().Name).
		Bool("Limited", advertisement.Limited).
		Float64("LimitPerSecond", advertisement.LimitPerSecond).
		Bool("Leaving", advertisement.Leaving).
		Str("Source", source)
	if wait := time.Until(advertisement.RetryAt); wait > 0 {
		line = line.Int64("RetryMillis", wait.Milliseconds())
	}
	line.Msg("UpstreamAdvertised")
}
