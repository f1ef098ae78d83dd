// Package configurer reads and validates the settings of an entry instance.
package configurer

import (
	"reflect"
	"strings"

	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

// Settings holds the settings of an entry instance, which it reads from its settings file
// at its start. A change of the file takes effect at the next start. Each struct field is
// a table of the file, and its type documents the fields. All times are in milliseconds,
// at most 3600000 (one hour). A field without a stated default is empty or 0 by default.
type Settings struct {
	// Name is the name of the instance in logs, on the timeline and, with
	// AdapterThimblegate, of its object on the platform. Required.
	Name string
	// Place is the name of the failure domain in which the instance runs. Required; with
	// AdapterThimblegate it must be one of Places.
	Place string
	// Places lists the failure domains of the deployment. Only AdapterThimblegate needs
	// it, because its platform does not hold failure domains as objects.
	Places []Place `toml:",omitempty"`

	Callers   Callers
	Peers     Peers
	Operators Operators
	Platform  Platform
	Upstreams Upstreams
	Retries   Retries
	Moves     Moves
	Lookups   Lookups
	Drain     Drain
	Log       Log
	Readiness Readiness
	Placing   Placing
	Affinity  Affinity
	Teams     Teams
	Capacity  Capacity
	Machine   Machine
	Duty      Duty
	Queue     Queue
}

// Teams configures how the limits of teams are enforced. Only AdapterThimblegate uses it.
type Teams struct {
	// Slack is how many requests beyond a team's burst all instances together may admit.
	// It keeps an instance whose part of the limit is less than one request from refusing
	// requests within the rate. 0 to 1000000; 0 by default.
	Slack int
}

// Place is one failure domain.
type Place struct {
	// Name is the unique name of the failure domain. Required.
	Name string
	// Region is the name of the region. Failure domains of one region are close to one
	// another. Required.
	Region string
}

// Readiness configures the listener that reports whether the instance accepts requests.
type Readiness struct {
	// Listen is an IP address with a port. Required with AdapterThimblegate; AdapterOwn
	// does not open this listener.
	Listen string
}

// Placing configures the choice of upstreams by the object of a request: for each object,
// the upstreams are ordered by the sum of a hash and the costs below. The costs are
// fractions of the range of the hash, which is 1. Only AdapterThimblegate uses it.
type Placing struct {
	// OtherPlace is the cost of an upstream in another failure domain of the instance's
	// region. 0 to 100; 0.1 by default.
	OtherPlace float64
	// OtherRegion is the cost of an upstream in another region. 0 to 100; 0.3 by default.
	OtherRegion float64
	// Choices is the number of upstreams with the lowest sums of hash and distance cost
	// among which the load decides. 1 to 8; 2 by default.
	Choices int
	// FreeLoad is the load up to which an upstream has no cost of load. The load is the
	// number of requests at the upstream as a fraction of its slots. 0 to 100; 0.8 by
	// default.
	FreeLoad float64
	// LoadWeight is the cost of each unit of load beyond FreeLoad, which is as many
	// requests as the upstream has slots. 0 to 100; 0.5 by default.
	LoadWeight float64
	// ShiftPerWindow is the largest part of a region's requests whose region the demand and
	// the slots of all regions may change within two seconds (package balancer). With 0, the
	// default, the loads that this instance sees change it instead. 0 to 1.
	ShiftPerWindow float64
}

// Callers configures the listener for callers.
type Callers struct {
	// Listen is an IP address with a port; "127.0.0.1:8080" by default.
	Listen string
	// CertificateFile and KeyFile name the PEM files of the certificate and its private
	// key. If both are set, the listener uses TLS; setting one of them is an error. Only
	// AdapterOwn uses them.
	CertificateFile string
	KeyFile         string
	// MaxInFlight limits the requests that the instance serves concurrently. Further ones
	// are refused. 1 to 1000000; 8192 by default.
	MaxInFlight int
	// MaxHeaderBytes limits the size of a request's header, in bytes. 1 to 1000000; 32768
	// by default.
	MaxHeaderBytes int
	// HeaderMillis is the timeout for the header of a request from a caller, in
	// milliseconds. It applies to the other listeners too. At least 1; 5000 by default.
	HeaderMillis int
	// IdleMillis is the time without a request after which a connection is closed, in
	// milliseconds. It applies to the other listeners too. At least 1; 60000 by default.
	IdleMillis int
	// FinishMillis is how long a request in flight may continue after its key was
	// withdrawn, in milliseconds. With 0, the default, the request is ended at once.
	FinishMillis int
}

// Peers configures the listener for other instances and the links to them.
type Peers struct {
	// Listen is an IP address with a port; "127.0.0.1:8081" by default.
	Listen string
	// Secret authenticates the instances to one another, so it must be the same at all
	// instances and known to nobody else. At least 16 bytes. Required, here or in
	// SecretFile.
	Secret string
	// SecretFile names a file that holds the secret, without the white space around it.
	// It cannot be set together with Secret.
	SecretFile string
	// Seeds lists the IP address and port of the listeners of peers to which the instance
	// keeps links in any case, so that it finds peers while the platform is unreachable.
	Seeds []string
	// CertificateFile and KeyFile name the PEM files of the certificate and its private
	// key, and AuthorityFile that of the certificates of the authorities that sign the
	// peers' certificates. If all three are set, the links use TLS; setting only some of
	// them is an error. Only AdapterOwn uses them.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Operators configures the listener for operators and collectors of metrics. With
// AdapterThimblegate it serves only metrics.
type Operators struct {
	// Listen is an IP address with a port; "127.0.0.1:8082" by default.
	Listen string
	// KeyHash is the hash of the operators' key: "sha256:" and 64 lower-case hexadecimal
	// digits. The command "hemlockport key" prints a new key and its hash. Required with
	// AdapterOwn; AdapterThimblegate does not use it.
	KeyHash string
	// CertificateFile and KeyFile name the PEM files of the certificate and its private
	// key. If both are set, the listener uses TLS; setting one of them is an error. Only
	// AdapterOwn uses them.
	CertificateFile string
	KeyFile         string
}

// The adapters to platforms.
const (
	// AdapterOwn uses the object API of this project's own platform, of which the command
	// standin runs a fake.
	AdapterOwn = "Own"
	// AdapterThimblegate uses the API of the Thimblegate platform.
	AdapterThimblegate = "Thimblegate"
)

// Platform configures the access to the platform's object API.
type Platform struct {
	// Adapter selects the platform: "Own" (AdapterOwn), the default, or "Thimblegate"
	// (AdapterThimblegate).
	Adapter string
	// Address is an HTTP or HTTPS URL; "http://127.0.0.1:7000" by default.
	Address string
	// Token authenticates each call. If it is empty, calls carry no token. Only
	// AdapterOwn uses it.
	Token string
	// TokenFile names a file that holds the token, without the white space around it. It
	// cannot be set together with Token.
	TokenFile string
	// ReadsPerSecond limits the rate of this instance's reads. A watch counts as one
	// read, however long it waits. 0.1 to 1000000; 50 by default. Only AdapterOwn uses
	// it.
	ReadsPerSecond float64
	// WritesPerSecond limits the rate of this instance's writes. 0.1 to 1000000; 20 by
	// default. Only AdapterOwn uses it.
	WritesPerSecond float64
}

// Upstreams configures the connections to upstreams and the checks of their health.
type Upstreams struct {
	// ProbeMillis is the time between two rounds of health probes, in milliseconds. At
	// least 10; 500 by default. Only AdapterOwn probes upstreams.
	ProbeMillis int
	// DialMillis is the timeout of connecting, in milliseconds. At least 1; 1000 by
	// default.
	DialMillis int
	// MaxConnections limits the open connections of this instance to one upstream. The
	// limit applies separately to connections that are reused and to those that serve a
	// single request. 1 to 1000000; 64 by default.
	MaxConnections int
	// IdleMillis is the time without a request after which a connection is closed, in
	// milliseconds. At least 1; 30000 by default.
	IdleMillis int
	// LapseMillis is how long after the end of an outage of the platform the instance
	// keeps upstreams whose registrations have expired during the outage, in
	// milliseconds, so that they can register again. 1800 by default. Only
	// AdapterThimblegate uses it.
	LapseMillis int
}

// Retries limits how often requests are sent again.
type Retries struct {
	// Attempts is how often a request is sent at most, including the first time, unless
	// its route states another number. 1 to 1000000; 3 by default.
	Attempts int
	// Ratio is how many retries each request adds to the retry budget of its service. 0
	// to 1; 0.1 by default.
	Ratio float64
	// Reserve is how many retries the budget of a service holds at most, and at its start unless
	// the platform lists an earlier start of the instance. 0 to 1000000; 20 by default.
	Reserve int
	// Slack, if above 0, is how many retries the budgets of all instances for a service hold at
	// most together. Each instance holds an equal part of it, or Reserve if that is less. 0 to 1000000;
	// 0 by default.
	Slack int
}

// Lookups configures the answers to lookups, which name the instances that a caller
// should use.
type Lookups struct {
	// ValidMillis is how long an answer is valid, in milliseconds. At least 1; 5000 by
	// default.
	ValidMillis int
	// Listen is the IP address with a port of the listener for lookups in the platform's
	// format. Required with AdapterThimblegate. AdapterOwn does not open this listener
	// and answers lookups on the callers' listener.
	Listen string
}

// Drain configures the graceful stop of the instance.
type Drain struct {
	// GraceMillis is how long the instance still accepts requests after it was withdrawn
	// from lookups, in milliseconds, because callers may hold older answers. 1000 by
	// default.
	GraceMillis int
	// LimitMillis is the timeout after GraceMillis for the requests in flight to
	// finish, in milliseconds. Requests that have not finished by then are cancelled.
	// At least 1; 30000 by default.
	LimitMillis int
	// KillSeconds is how long after the start of the drain the platform kills the process,
	// in seconds. It shortens GraceMillis and LimitMillis so that the process ends earlier
	// (see drainer.Schedule.WithKill). 0, the default, means that it is not killed.
	KillSeconds float64
}

// Log configures the log.
type Log struct {
	// Level is the lowest level that is logged: "debug", "info", "warn" or "error";
	// "info" by default.
	Level string
	// Form is the format of the lines: "json" or "text"; "json" by default.
	Form string
}

// Defaults returns the values of the fields that the settings file does not set.
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
		Moves: defaultMoves(),
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
		Affinity: defaultAffinity(),
		Duty:     defaultDuty(),
		Queue:    defaultQueue(),
	}
}

// Equal reports whether two settings have the same values.
func (s Settings) Equal(other Settings) bool {
	return reflect.DeepEqual(s, other)
}

// WithoutSecrets returns a copy in which a placeholder replaces each secret, so that it
// can be printed.
func (s Settings) WithoutSecrets() Settings {
	const placeholder = "(not shown)"
	if s.Peers.Secret != "" {
		s.Peers.Secret = placeholder
	}
	if s.Platform.Token != "" {
		s.Platform.Token = placeholder
	}
	return s
}

// InvalidError is the error of settings that are not valid.
type InvalidError struct {
	// Faults lists every fault. It is never empty.
	Faults []checker.Fault
}

// Error returns all faults, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
