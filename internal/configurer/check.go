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
	// minSecretBytes is the shortest secret among peers, in bytes.
	minSecretBytes = 16
	// maxMillis bounds every time in the settings, in milliseconds: one hour.
	maxMillis = 3_600_000
	// maxCost bounds the costs of Placing.
	maxCost = 100
	// maxCount bounds every count in the settings.
	maxCount = 1_000_000
)

// pass collects faults.
type pass struct {
	faults []checker.Fault
}

func (s Settings) check() []checker.Fault {
	p := &pass{}
	p.require(s.Name != "", "Name", s.Name, "not empty")
	p.require(s.Place != "", "Place", s.Place, "the name of the Place that the instance stands in")
	p.listeners(s)
	p.platform(s.Platform)
	p.limits(s)
	p.places(s)
	p.placing(s.Placing)
	slack := s.Teams.Slack
	p.require(slack >= 0 && slack <= maxCount, "Teams.Slack", fmt.Sprint(slack), "0 to 1000000")
	p.log(s.Log)
	return p.faults
}

func (p *pass) listeners(s Settings) {
	p.address("Callers.Listen", s.Callers.Listen)
	p.address("Peers.Listen", s.Peers.Listen)
	p.address("Operators.Listen", s.Operators.Listen)
	for i, seed := range s.Peers.Seeds {
		p.address(fmt.Sprintf("Peers.Seeds[%d]", i), seed)
	}
	p.together("Callers", s.Callers.CertificateFile, s.Callers.KeyFile)
	p.together("Operators", s.Operators.CertificateFile, s.Operators.KeyFile)
	p.together("Peers", s.Peers.CertificateFile, s.Peers.KeyFile, s.Peers.AuthorityFile)
	long := len(s.Peers.Secret) >= minSecretBytes
	p.require(long, "Peers.Secret", "(not shown)", fmt.Sprintf("at least %d bytes", minSecretBytes))
	if s.Platform.Adapter == AdapterThimblegate {
		// Operators talk to the platform, and the listener serves metrics only.
		return
	}
	_, valid := declarer.ParseKeyHash(s.Operators.KeyHash)
	p.require(valid, "Operators.KeyHash", s.Operators.KeyHash,
		"sha256: and 64 lower-case hexadecimal digits; hemlockport key makes one")
}

func (p *pass) platform(platform Platform) {
	address, err := url.Parse(platform.Address)
	valid := err == nil && address.Host != "" && (address.Scheme == "http" || address.Scheme == "https")
	p.require(valid, "Platform.Address", platform.Address, "a URL such as http://10.0.0.1:7000")
	known := platform.Adapter == AdapterOwn || platform.Adapter == AdapterThimblegate
	p.require(known, "Platform.Adapter", platform.Adapter, AdapterOwn+" or "+AdapterThimblegate)
	p.perSecond("Platform.ReadsPerSecond", platform.ReadsPerSecond)
	p.perSecond("Platform.WritesPerSecond", platform.WritesPerSecond)
}

func (p *pass) limits(s Settings) {
	p.count("Callers.MaxInFlight", s.Callers.MaxInFlight)
	p.count("Callers.MaxHeaderBytes", s.Callers.MaxHeaderBytes)
	p.millis("Callers.HeaderMillis", s.Callers.HeaderMillis, 1)
	p.millis("Callers.IdleMillis", s.Callers.IdleMillis, 1)
	p.millis("Callers.FinishMillis", s.Callers.FinishMillis, 0)
	p.millis("Upstreams.ProbeMillis", s.Upstreams.ProbeMillis, 10)
	p.millis("Upstreams.DialMillis", s.Upstreams.DialMillis, 1)
	p.count("Upstreams.MaxConnections", s.Upstreams.MaxConnections)
	p.millis("Upstreams.IdleMillis", s.Upstreams.IdleMillis, 1)
	p.millis("Upstreams.LapseMillis", s.Upstreams.LapseMillis, 0)
	p.count("Retries.Attempts", s.Retries.Attempts)
	ratio := s.Retries.Ratio
	p.require(ratio >= 0 && ratio <= 1, "Retries.Ratio", fmt.Sprint(ratio), "0 to 1")
	reserve := s.Retries.Reserve
	p.require(reserve >= 0 && reserve <= maxCount, "Retries.Reserve", fmt.Sprint(reserve), "0 to 1000000")
	p.millis("Lookups.ValidMillis", s.Lookups.ValidMillis, 1)
	p.millis("Drain.GraceMillis", s.Drain.GraceMillis, 0)
	p.millis("Drain.LimitMillis", s.Drain.LimitMillis, 1)
}

// places checks what only an instance on another platform than our own needs.
func (p *pass) places(s Settings) {
	if s.Platform.Adapter != AdapterThimblegate {
		return
	}
	found := false
	for i, place := range s.Places {
		field := fmt.Sprintf("Places[%d].", i)
		p.require(place.Name != "", field+"Name", place.Name, "not empty")
		p.require(place.Region != "", field+"Region", place.Region, "not empty")
		found = found || place.Name == s.Place
	}
	p.require(found, "Place", s.Place, "the name of one of Places")
	p.address("Lookups.Listen", s.Lookups.Listen)
	p.address("Readiness.Listen", s.Readiness.Listen)
}

func (p *pass) placing(placing Placing) {
	choices := placing.Choices
	p.require(choices >= 1 && choices <= picker.MaxChoices, "Placing.Choices", fmt.Sprint(choices),
		fmt.Sprintf("1 to %d", picker.MaxChoices))
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
		ok := cost.value >= 0 && cost.value <= maxCost
		p.require(ok, cost.field, fmt.Sprint(cost.value), "0 to 100")
	}
}

func (p *pass) log(log Log) {
	switch log.Level {
	case "debug", "info", "warn", "error":
	default:
		p.require(false, "Log.Level", log.Level, "debug, info, warn or error")
	}
	p.require(log.Form == "json" || log.Form == "text", "Log.Form", log.Form, "json or text")
}

func (p *pass) require(ok bool, field, value, rule string) {
	if !ok {
		p.faults = append(p.faults, fault(field, value, rule))
	}
}

func (p *pass) address(field, value string) {
	_, err := netip.ParseAddrPort(value)
	p.require(err == nil, field, value, "an IP number and a port")
}

func (p *pass) perSecond(field string, value float64) {
	p.require(value >= 0.1 && value <= maxCount, field, fmt.Sprint(value), "0.1 to 1000000")
}

func (p *pass) count(field string, value int) {
	p.require(value >= 1 && value <= maxCount, field, fmt.Sprint(value), "1 to 1000000")
}

func (p *pass) millis(field string, value, least int) {
	ok := value >= least && value <= maxMillis
	p.require(ok, field, fmt.Sprint(value), fmt.Sprintf("%d to %d milliseconds", least, maxMillis))
}

// together asks that either all files are named, and can be read, or none is.
func (p *pass) together(section string, files ...string) {
	named := 0
	for _, file := range files {
		if file == "" {
			continue
		}
		named++
		_, err := os.Stat(file)
		p.require(err == nil, section, file, "a file that can be read")
	}
	p.require(named == 0 || named == len(files), section, fmt.Sprint(files),
		"either all files for TLS are named or none")
}
