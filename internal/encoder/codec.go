// Package encoder holds the codecs. Decisions never see an encoding; they are
// handed values that one of these has decoded.
package encoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// CBOR is the codec between our own processes and for stored objects (RFC 8949,
// core deterministic encoding).
type CBOR[T any] struct{}

// JSON is the codec towards callers and operators. It refuses unknown fields.
type JSON[T any] struct{}

// TOML is the codec of settings and of objects in files. It refuses unknown
// fields.
type TOML[T any] struct{}

var (
	cborWriter = must(cbor.CoreDetEncOptions().EncMode())
	cborReader = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

const (
	// maxElements bounds the elements of one decoded array or map.
	maxElements = 1 << 20
	// maxNesting bounds the depth of a decoded value.
	maxNesting = 16
)

// Encode returns the value in CBOR.
func (CBOR[T]) Encode(value T) ([]byte, error) {
	data, err := cborWriter.Marshal(value)
	return data, eris.Wrap(err, "encode CBOR")
}

// Decode reads a value in CBOR. Unknown fields are passed over, so that versions
// of the program can run side by side.
func (CBOR[T]) Decode(data []byte) (T, error) {
	var value T
	err := cborReader.Unmarshal(data, &value)
	return value, eris.Wrap(err, "decode CBOR")
}

// Encode returns the value in JSON, indented.
func (JSON[T]) Encode(value T) ([]byte, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	return append(data, '\n'), eris.Wrap(err, "encode JSON")
}

// Decode reads a value in JSON.
func (JSON[T]) Decode(data []byte) (T, error) {
	var value T
	reader := json.NewDecoder(bytes.NewReader(data))
	reader.DisallowUnknownFields()
	if err := reader.Decode(&value); err != nil {
		return value, eris.Wrap(err, "decode JSON")
	}
	if _, err := reader.Token(); !errors.Is(err, io.EOF) {
		return value, eris.New("decode JSON: more than one value")
	}
	return value, nil
}

// Encode returns the value in TOML.
func (TOML[T]) Encode(value T) ([]byte, error) {
	data, err := toml.Marshal(value)
	return data, eris.Wrap(err, "encode TOML")
}

// Decode reads a value in TOML.
func (c TOML[T]) Decode(data []byte) (T, error) {
	var value T
	return c.DecodeOver(data, value)
}

// DecodeOver reads a value in TOML over another, which holds where the data is
// silent. Its error is an *UnknownFields, with which the value is still good, or
// names line and column.
func (TOML[T]) DecodeOver(data []byte, value T) (T, error) {
	reader := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := reader.Decode(&value)
	return value, describeTOML(err)
}

// UnknownFields is the error of a document with fields that its type lacks.
type UnknownFields struct {
	// Fields are the paths of the fields. It is never empty.
	Fields []string
}

// Error lists the fields.
func (u *UnknownFields) Error() string {
	return "unknown fields: " + strings.Join(u.Fields, ", ")
}

func describeTOML(err error) error {
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		fields := make([]string, 0, len(unknown.Errors))
		for _, missing := range unknown.Errors {
			fields = append(fields, strings.Join(missing.Key(), "."))
		}
		return &UnknownFields{
			Fields: fields,
		}
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		row, column := syntax.Position()
		return eris.Errorf("line %d, column %d: %s", row, column, syntax.Error())
	}
	return eris.Wrap(err, "decode TOML")
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
