package configurer

import (
	"errors"
	"os"
	"strings"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

// ReadFile reads settings in TOML from a file and from further texts, as Read does. Its error is an
// *InvalidError that lists every fault, or describes why the file cannot be read or
// parsed.
func ReadFile(name string, more ...string) (Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Settings{}, err
	}
	return Read(data, more...)
}

// Read reads settings in TOML, and then those of each further text, which replace what the
// texts before have set. Fields that are not set keep their defaults. Read validates all
// fields before it returns, so that its error lists every fault.
func Read(data []byte, more ...string) (Settings, error) {
	settings, faults, err := decodeOver(data, Defaults())
	if err != nil {
		return Settings{}, err
	}
	for _, text := range more {
		next, nextFaults, err := decodeOver([]byte(text), settings)
		if err != nil {
			return Settings{}, err
		}
		settings = next
		faults = append(faults, nextFaults...)
	}
	settings.Machine = Machine{}
	settings, fileFaults := settings.withSecretsFromFiles()
	faults = append(faults, fileFaults...)
	faults = append(faults, settings.validate()...)
	if len(faults) > 0 {
		return Settings{}, &InvalidError{
			Faults: faults,
		}
	}
	return settings, nil
}

// decodeOver decodes settings in TOML over others, which keep the fields that the text does not
// set. The faults are the fields that are unknown.
func decodeOver(data []byte, over Settings) (Settings, []checker.Fault, error) {
	settings, err := encoder.TOML[Settings]{}.DecodeOver(data, over)
	var unknown *encoder.UnknownFieldsError
	if !errors.As(err, &unknown) {
		return settings, nil, err
	}
	var faults []checker.Fault
	for _, field := range unknown.Fields {
		faults = append(faults, newFault(field, "", "a field of the settings; --print-settings lists them"))
	}
	return settings, faults, nil
}

// withSecretsFromFiles returns a copy in which the secrets are read from the files that
// the settings name, and the faults of these files.
func (s Settings) withSecretsFromFiles() (Settings, []checker.Fault) {
	var faults []checker.Fault
	readSecret := func(field, name, value string) string {
		if name == "" {
			return value
		}
		if value != "" {
			faults = append(faults, newFault(field, name, "either the file or the value itself, not both"))
			return value
		}
		data, err := os.ReadFile(name)
		if err != nil {
			faults = append(faults, newFault(field, name, "a file that can be read"))
			return value
		}
		return strings.TrimSpace(string(data))
	}
	s.Peers.Secret = readSecret("Peers.SecretFile", s.Peers.SecretFile, s.Peers.Secret)
	s.Platform.Token = readSecret("Platform.TokenFile", s.Platform.TokenFile, s.Platform.Token)
	return s, faults
}

func newFault(field, value, rule string) checker.Fault {
	return checker.Fault{
		Object: "Settings",
		Field:  field,
		Value:  value,
		Rule:   rule,
	}
}
