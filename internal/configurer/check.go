package configurer

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
	"github.com/hemlockport/hemlockport/pkg/query/picker"
)

const (
	// minSecretBytes is the minimum length of Peers.Secret, in bytes.
	minSecretBytes = 16
	// maxMillis is the largest value of every time in the settings: one hour, in
	// milliseconds.
	maxMillis = 3_600_000
	// maxKillSeconds is the largest value of Drain.KillSeconds: one day.
	maxKillSeconds = 86_400
	// maxPlacingValue limits every cost and load in Placing.
	maxPlacingValue = 100
	// maxCount limits every count and every rate in the settings.
	maxCount = 1_000_000
)

// validation collects the faults that it finds in the settings.
type validation struct {
	faults []checker.Fault
}

// validate returns every fault in the settings.
func (s Settings) validate() []checker.Fault {
	v := &validation{}
	v.require(s.Name != "", "Name", s.Name, "not empty")
	v.require(s.Place != "", "Place", s.Place, "the name of the Place in which the instance runs")
	v.checkListeners(s)
	v.checkPlatform(s.Platform)
	v.checkLimits(s)
	v.checkPlaces(s)
	v.checkPlacing(s.Placing)
	v.checkAffinity(s.Affinity)
	v.checkCapacity(s.Capacity)
	v.checkMoves(s.Moves)
	slack := s.Teams.Slack
	v.require(slack >= 0 && slack <= maxCount, "Teams.Slack", fmt.Sprint(slack), "0 to 1000000")
	v.checkDuty(s.Duty)
	v.checkLog(s.Log)
	v.checkQueue(s.Queue)
	return v.faults
}

func (v *validation) checkListeners(s Settings) {
	v.checkAddress("Callers.Listen", s.Callers.Listen)
	v.checkAddress("Peers.Listen", s.Peers.Listen)
	v.checkAddress("Operators.Listen", s.Operators.Listen)
	for i, seed := range s.Peers.Seeds {
		v.checkAddress(fmt.Sprintf("Peers.Seeds[%d]", i), seed)
	}
	v.checkAllOrNone("Callers", s.Callers.CertificateFile, s.Callers.KeyFile)
	v.checkAllOrNone("Operators", s.Operators.CertificateFile, s.Operators.KeyFile)
	v.checkAllOrNone("Peers", s.Peers.CertificateFile, s.Peers.KeyFile, s.Peers.AuthorityFile)
	longEnough := len(s.Peers.Secret) >= minSecretBytes
	v.require(longEnough, "Peers.Secret", "(not shown)", fmt.Sprintf("at least %d bytes", minSecretBytes))
	if s.Platform.Adapter == AdapterThimblegate {
		// On this platform operators use the platform's own interface. The listener
		// serves only metrics, which need no key.
		return
	}
	_, valid := declarer.ParseKeyHash(s.Operators.KeyHash)
	v.require(valid, "Operators.KeyHash", s.Operators.KeyHash,
		"sha256: and 64 lower-case hexadecimal digits; hemlockport key makes one")
}

func (v *validation) checkPlatform(platform Platform) {
	address, err := url.Parse(platform.Address)
	valid := err == nil && address.Host != "" && (address.Scheme == "http" || address.Scheme == "https")
	v.require(valid, "Platform.Address", platform.Address, "a URL such as http://10.0.0.1:7000")
	known := platform.Adapter == AdapterOwn || platform.Adapter == AdapterThimblegate
	v.require(known, "Platform.Adapter", platform.Adapter, AdapterOwn+" or "+AdapterThimblegate)
	v.checkRate("Platform.ReadsPerSecond", platform.ReadsPerSecond)
	v.checkRate("Platform.WritesPerSecond", platform.WritesPerSecond)
}

func (v *validation) checkLimits(s Settings) {
	v.checkCount("Callers.MaxInFlight", s.Callers.MaxInFlight)
	v.checkCount("Callers.MaxHeaderBytes", s.Callers.MaxHeaderBytes)
	v.checkMillis("Callers.HeaderMillis", s.Callers.HeaderMillis, 1)
	v.checkMillis("Callers.IdleMillis", s.Callers.IdleMillis, 1)
	v.checkMillis("Callers.FinishMillis", s.Callers.FinishMillis, 0)
	v.checkMillis("Upstreams.ProbeMillis", s.Upstreams.ProbeMillis, 10)
	v.checkMillis("Upstreams.DialMillis", s.Upstreams.DialMillis, 1)
	v.checkCount("Upstreams.MaxConnections", s.Upstreams.MaxConnections)
	v.checkMillis("Upstreams.IdleMillis", s.Upstreams.IdleMillis, 1)
	v.checkMillis("Upstreams.LapseMillis", s.Upstreams.LapseMillis, 0)
	v.checkCount("Retries.Attempts", s.Retries.Attempts)
	ratio := s.Retries.Ratio
	v.require(ratio >= 0 && ratio <= 1, "Retries.Ratio", fmt.Sprint(ratio), "0 to 1")
	reserve := s.Retries.Reserve
	v.require(reserve >= 0 && reserve <= maxCount, "Retries.Reserve", fmt.Sprint(reserve), "0 to 1000000")
	slack := s.Retries.Slack
	v.require(slack >= 0 && slack <= maxCount, "Retries.Slack", fmt.Sprint(slack), "0 to 1000000")
	v.checkMillis("Lookups.ValidMillis", s.Lookups.ValidMillis, 1)
	v.checkMillis("Drain.GraceMillis", s.Drain.GraceMillis, 0)
	v.checkMillis("Drain.LimitMillis", s.Drain.LimitMillis, 1)
	kill := s.Drain.KillSeconds
	v.require(kill >= 0 && kill <= maxKillSeconds, "Drain.KillSeconds", fmt.Sprint(kill), "0 to 86400 seconds")
}

// checkPlaces checks the settings that are required only on the Thimblegate platform.
func (v *validation) checkPlaces(s Settings) {
	if s.Platform.Adapter != AdapterThimblegate {
		return
	}
	found := false
	for i, place := range s.Places {
		field := fmt.Sprintf("Places[%d].", i)
		v.require(place.Name != "", field+"Name", place.Name, "not empty")
		v.require(place.Region != "", field+"Region", place.Region, "not empty")
		found = found || place.Name == s.Place
	}
	v.require(found, "Place", s.Place, "the name of one of the entries of Places")
	v.checkAddress("Lookups.Listen", s.Lookups.Listen)
	v.checkAddress("Readiness.Listen", s.Readiness.Listen)
}

func (v *validation) checkPlacing(placing Placing) {
	choices := placing.Choices
	v.require(choices >= 1 && choices <= picker.MaxChoices, "Placing.Choices", fmt.Sprint(choices),
		fmt.Sprintf("1 to %d", picker.MaxChoices))
	shift := placing.ShiftPerWindow
	v.require(shift >= 0 && shift <= 1, "Placing.ShiftPerWindow", fmt.Sprint(shift), "0 to 1")
	costs := []struct {
		field string
		value float64
	}{
		{
			field: "Placing.OtherPlace",
			value: placing.OtherPlace,
		},
		{
			field: "Placing.OtherRegion",
			value: placing.OtherRegion,
		},
		{
			field: "Placing.FreeLoad",
			value: placing.FreeLoad,
		},
		{
			field: "Placing.LoadWeight",
			value: placing.LoadWeight,
		},
	}
	for _, cost := range costs {
		ok := cost.value >= 0 && cost.value <= maxPlacingValue
		v.require(ok, cost.field, fmt.Sprint(cost.value), "0 to 100")
	}
}

func (v *validation) checkLog(log Log) {
	switch log.Level {
	case "debug", "info", "warn", "error":
	default:
		v.require(false, "Log.Level", log.Level, "debug, info, warn or error")
	}
	v.require(log.Form == "json" || log.Form == "text", "Log.Form", log.Form, "json or text")
}

// require records a fault in a field unless ok is true.
func (v *validation) require(ok bool, field, value, rule string) {
	if !ok {
		v.faults = append(v.faults, newFault(field, value, rule))
	}
}

// checkAddress checks that a value is an IP address with a port.
func (v *validation) checkAddress(field, value string) {
	_, err := netip.ParseAddrPort(value)
	v.require(err == nil, field, value, "an IP address and a port")
}

func (v *validation) checkRate(field string, value float64) {
	v.require(value >= 0.1 && value <= maxCount, field, fmt.Sprint(value), "0.1 to 1000000")
}

func (v *validation) checkCount(field string, value int) {
	v.require(value >= 1 && value <= maxCount, field, fmt.Sprint(value), "1 to 1000000")
}

func (v *validation) checkMillis(field string, value, minimum int) {
	ok := value >= minimum && value <= maxMillis
	v.require(ok, field, fmt.Sprint(value), fmt.Sprintf("%d to %d milliseconds", minimum, maxMillis))
}

// checkAllOrNone checks that either all files of a section are named or none, and that
// the named ones exist. Its faults name the section, as the field is not known here.
func (v *validation) checkAllOrNone(section string, files ...string) {
	named := 0
	for _, file := range files {
		if file == "" {
			continue
		}
		named++
		_, err := os.Stat(file)
		v.require(err == nil, section, file, "a file that can be read")
	}
	v.require(named == 0 || named == len(files), section, fmt.Sprint(files),
		"either all TLS files of the section or none")
}
