// Package configurer reads and checks the settings of an entry instance.
package configurer

import (
	"errors"
	"os"
	"reflect"
	"strings"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

// Settings are what an entry instance learns from its file. All times are in
// milliseconds.
type Settings struct {
	// Name is the instance's name in logs and on the time line.
	Name string
	// Place is the failure domain that the instance stands in.
	Place string
	// Places are the failure domains of the deployment, where the platform does not
	// hold them as objects.
	Places []Place `toml:",omitempty"`

	Callers   Callers
	Peers     Peers
	Operators Operators
	Platform  Platform
	Upstreams Upstreams
	Retries   Retries
	Lookups   Lookups
	Drain     Drain
	Log       Log
	Readiness Readiness
	Placing   Placing
	Teams     Teams
}

// Teams says how teams' limits are kept.
type Teams struct {
	// Slack is how many requests beyond a team's burst all instances together may
	// admit, so that a request within the rate is not refused where an instance's part
	// is less than one.
	Slack int
}

// Place is one failure domain.
type Place struct {
	// Name is unique among places.
	Name string
	// Region groups failure domains that are near one another.
	Region string
}

// Readiness is the listener that tells whether the instance takes requests.
type Readiness struct {
	// Listen is an IP number and a port. Empty means no such listener.
	Listen string
}

// Placing says how upstreams are chosen by the object of a request. Its costs are
// in parts of the whole range of the hash of keys.
type Placing struct {
	// OtherPlace and OtherRegion are the costs of the way to an upstream in another
	// place of the own region and in another region.
	OtherPlace  float64
	OtherRegion float64
	// Choices is among how many upstreams load decides, those that the object's hash
	// and the distance prefer.
	Choices int
	// FreeLoad is the part of an upstream's slots up to which it keeps its keys, and
	// LoadWeight is the cost of each further whole of them.
	FreeLoad   float64
	LoadWeight float64
}

// Callers is the listener for callers.
type Callers struct {
	// Listen is an IP number and a port.
	Listen string
	// CertificateFile and KeyFile, both or none, turn on TLS.
	CertificateFile string
	KeyFile         string
	// MaxInFlight bounds the requests served at once.
	MaxInFlight int
	// MaxHeaderBytes bounds the header of a request, in bytes.
	MaxHeaderBytes int
	// HeaderMillis bounds the time in which a caller sends a header.
	HeaderMillis int
	// IdleMillis ends a connection without requests.
	IdleMillis int
	// FinishMillis is how long a request that has begun may go on after its key was
	// withdrawn.
	FinishMillis int
}

// Peers is the listener for other instances.
type Peers struct {
	// Listen is an IP number and a port.
	Listen string
	// Secret is known to all instances and to nobody else. SecretFile names a file
	// that holds it instead.
	Secret     string
	SecretFile string
	// Seeds are peers' addresses to try while the platform is away.
	Seeds []string
	// CertificateFile, KeyFile and AuthorityFile, all or none, turn on TLS.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Operators is the listener for operators and collectors.
type Operators struct {
	// Listen is an IP number and a port.
	Listen string
	// KeyHash is "sha256:" and the hash of the operators' key.
	KeyHash string
	// CertificateFile and KeyFile, both or none, turn on TLS.
	CertificateFile string
	KeyFile         string
}

// The adapters to platforms.
const (
	// AdapterOwn speaks the object API of this project's stand-in.
	AdapterOwn = "Own"
	// AdapterThimblegate speaks the API of the Thimblegate platform.
	AdapterThimblegate = "Thimblegate"
)

// Platform is the object API.
type Platform struct {
	// Adapter is AdapterOwn or AdapterThimblegate.
	Adapter string
	// Address is a URL such as "http://10.0.0.1:7000".
	Address string
	// Token is shown with each call, unless empty. TokenFile names a file that
	// holds it instead.
	Token     string
	TokenFile string
	// ReadsPerSecond and WritesPerSecond bound this instance's calls. A waiting
	// watch is one read.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Upstreams says how upstreams are met.
type Upstreams struct {
	// ProbeMillis is the time between two probes of an upstream.
	ProbeMillis int
	// DialMillis bounds the time to connect.
	DialMillis int
	// MaxConnections bounds the open connections to one upstream.
	MaxConnections int
	// IdleMillis ends a connection that no request has used for that long.
	IdleMillis int
	// LapseMillis is for how long after the platform's return an upstream is kept
	// whose registration has lapsed meanwhile.
	LapseMillis int
}

// Retries bounds how requests are sent again.
type Retries struct {
	// Attempts is how often one request is sent at most.
	Attempts int
	// Ratio is how many retries a request earns.
	Ratio float64
	// Reserve is how many retries can be saved up.
	Reserve int
}

// Lookups says how look-ups are answered.
type Lookups struct {
	// ValidMillis is how long an answer is valid.
	ValidMillis int
	// Listen is an IP number and a port for look-ups in the platform's form. Empty
	// means that they are answered on the callers' listener only.
	Listen string
}

// Drain says how the instance stops.
type Drain struct {
	// GraceMillis is how long it goes on taking requests after it has left the
	// look-ups, for callers with older answers.
	GraceMillis int
	// LimitMillis bounds the time in which it finishes what runs.
	LimitMillis int
}

// Log says what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Form is json or text.
	Form string
}

// Defaults returns the settings that hold where the file is silent.
func Defaults() Settings {
	return Settings{
		Callers: Callers{
			Listen:         "127.0.0.1:8080",
			MaxInFlight:    8192,
			MaxHeaderBytes: 32 << 10,
			HeaderMillis:   5000,
			IdleMillis:     60_000,
		},
		Peers: Peers{
			Listen: "127.0.0.1:8081",
		},
		Operators: Operators{
			Listen: "127.0.0.1:8082",
		},
		Platform: Platform{
			Adapter:         AdapterOwn,
			Address:         "http://127.0.0.1:7000",
			ReadsPerSecond:  50,
			WritesPerSecond: 20,
		},
		Upstreams: Upstreams{
			ProbeMillis:    500,
			DialMillis:     1000,
			MaxConnections: 64,
			IdleMillis:     30_000,
			LapseMillis:    1800,
		},
		Retries: Retries{
			Attempts: 3,
			Ratio:    0.1,
			Reserve:  20,
		},
		Lookups: Lookups{
			ValidMillis: 5000,
		},
		Drain: Drain{
			GraceMillis: 1000,
			LimitMillis: 30_000,
		},
		Log: Log{
			Level: "info",
			Form:  "json",
		},
		Placing: Placing{
			OtherPlace:  0.1,
			OtherRegion: 0.3,
			Choices:     2,
			FreeLoad:    0.8,
			LoadWeight:  0.5,
		},
	}
}

// Equal says whether two settings are the same.
func (s Settings) Equal(other Settings) bool {
	return reflect.DeepEqual(s, other)
}

// WithoutSecrets returns a copy that can be shown to anybody.
func (s Settings) WithoutSecrets() Settings {
	const hidden = "(not shown)"
	if s.Peers.Secret != "" {
		s.Peers.Secret = hidden
	}
	if s.Platform.Token != "" {
		s.Platform.Token = hidden
	}
	return s
}

// Invalid is the error of settings that do not fit.
type Invalid struct {
	// Faults is never empty.
	Faults []checker.Fault
}

// Error lists all faults.
func (i *Invalid) Error() string {
	lines := make([]string, 0, len(i.Faults))
	for _, fault := range i.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// ReadFile reads settings from a file and checks them whole. Its error is an
// *Invalid that lists every fault, or tells why the file cannot be read.
func ReadFile(name string) (Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Settings{}, err
	}
	return Read(data)
}

// Read reads settings in TOML over the defaults and checks them whole.
func Read(data []byte) (Settings, error) {
	settings, err := encoder.TOML[Settings]{}.DecodeOver(data, Defaults())
	var unknown *encoder.UnknownFields
	var faults []checker.Fault
	switch {
	case errors.As(err, &unknown):
		for _, field := range unknown.Fields {
			faults = append(faults, fault(field, "", "a field of the settings; --print-settings lists them"))
		}
	case err != nil:
		return Settings{}, err
	}
	settings, missing := settings.withFiles()
	faults = append(faults, missing...)
	faults = append(faults, settings.check()...)
	if len(faults) > 0 {
		return Settings{}, &Invalid{
			Faults: faults,
		}
	}
	return settings, nil
}

// withFiles returns settings in which secrets stand in place of the files that
// hold them.
func (s Settings) withFiles() (Settings, []checker.Fault) {
	var faults []checker.Fault
	load := func(field, name, value string) string {
		if name == "" {
			return value
		}
		if value != "" {
			faults = append(faults, fault(field, name, "not together with the value itself"))
			return value
		}
		data, err := os.ReadFile(name)
		if err != nil {
			faults = append(faults, fault(field, name, "a file that can be read"))
			return value
		}
		return strings.TrimSpace(string(data))
	}
	s.Peers.Secret = load("Peers.SecretFile", s.Peers.SecretFile, s.Peers.Secret)
	s.Platform.Token = load("Platform.TokenFile", s.Platform.TokenFile, s.Platform.Token)
	return s, faults
}

func fault(field, value, rule string) checker.Fault {
	return checker.Fault{
		Object: "Settings",
		Field:  field,
		Value:  value,
		Rule:   rule,
	}
}
