package checker

import (
	"fmt"
	"math"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

const (
	// maxRatePerSecond is the highest rate of a team, in requests per second.
	maxRatePerSecond = 10_000_000
	// minRatePerSecond is the lowest rate of a team, in requests per second: about one
	// request in 3 hours.
	minRatePerSecond = 0.0001
	// minKeysStopMillis is the shortest time after which keys stop working at an instance
	// that is partitioned from the platform, in milliseconds. It is above
	// adapter.WatchMillis, because the platform confirms only about that often, with its
	// answer to a watch, that the configuration is the newest. With a shorter time, keys
	// would stop working although the platform answers.
	minKeysStopMillis = 30_000
	// maxKeysStopMillis is the longest such time, in milliseconds: one day.
	maxKeysStopMillis = 86_400_000
	// maxBurst is the largest burst of a team, in requests.
	maxBurst = 10_000_000
)

func (s *setCheck) checkTeams() {
	for team := range s.set.Teams.All() {
		o := s.checkObject(declarer.KindTeam, team.Name)
		rate := team.RatePerSecond
		inRange := !math.IsNaN(rate) && rate >= minRatePerSecond && rate <= maxRatePerSecond
		o.require(inRange, "RatePerSecond", rate, "0.0001 to 10000000")
		o.require(team.Burst >= 1 && team.Burst <= maxBurst, "Burst", team.Burst, "1 to 10000000")
		stopAfter := team.KeysStopAfterMillis
		o.require(stopAfter == 0 || (stopAfter >= minKeysStopMillis && stopAfter <= maxKeysStopMillis),
			"KeysStopAfterMillis", stopAfter, "0, or 30000 to 86400000")
		s.checkHomes(o, team.Homes)
		o.require(team.Priority >= 0, "Priority", team.Priority, "0 or more")
		for i, name := range team.Services {
			_, found := s.set.Services.Get(name)
			o.require(found, fmt.Sprintf("Services[%d]", i), name, "the name of a declared Service")
		}
	}
}

func (s *setCheck) checkKeys() {
	owners := map[declarer.KeyHash]string{}
	for key := range s.set.Keys.All() {
		o := s.checkObject(declarer.KindKey, key.Name)
		_, found := s.set.Teams.Get(key.Team)
		o.require(found, "Team", key.Team, "the name of a declared Team")
		hash, valid := declarer.ParseKeyHash(key.Hash)
		o.require(valid, "Hash", key.Hash, "sha256: and 64 lower-case hexadecimal digits")
		if !valid {
			continue
		}
		owner, taken := owners[hash]
		o.require(!taken, "Hash", key.Hash, "a hash other than that of Key "+owner)
		owners[hash] = key.Name
	}
}
