// Package encoder holds the codecs for CBOR, JSON and TOML. Code that makes decisions
// never handles encoded data: it gets values that one of these codecs has decoded.
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

// CBOR is the codec for messages between the processes of this project and for stored
// objects. It uses the core deterministic encoding of RFC 8949.
type CBOR[T any] struct{}

// JSON is the codec for callers and operators. It rejects unknown fields.
type JSON[T any] struct{}

// TOML is the codec for settings and for objects in files. It rejects unknown
// fields.
type TOML[T any] struct{}

var (
	cborEncMode = must(cbor.CoreDetEncOptions().EncMode())
	cborDecMode = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

const (
	// maxElements bounds the elements of each decoded array and the pairs of each
	// decoded map.
	maxElements = 1 << 20
	// maxNesting bounds the nesting depth of a decoded value.
	maxNesting = 16
)

// Encode encodes the value as CBOR.
func (CBOR[T]) Encode(value T) ([]byte, error) {
	data, err := cborEncMode.Marshal(value)
	return data, eris.Wrap(err, "encode CBOR")
}

// Decode decodes a value from CBOR. It ignores unknown fields, so that different
// versions of the program can run at the same time.
func (CBOR[T]) Decode(data []byte) (T, error) {
	var value T
	err := cborDecMode.Unmarshal(data, &value)
	return value, eris.Wrap(err, "decode CBOR")
}

// Encode encodes the value as indented JSON with a newline at the end.
func (JSON[T]) Encode(value T) ([]byte, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	return append(data, '\n'), eris.Wrap(err, "encode JSON")
}

// Decode decodes a value from JSON. It is an error if anything but white space follows
// the value.
func (JSON[T]) Decode(data []byte) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, eris.Wrap(err, "decode JSON")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return value, eris.New("decode JSON: unexpected data after the value")
	}
	return value, nil
}

// Encode encodes the value as TOML.
func (TOML[T]) Encode(value T) ([]byte, error) {
	data, err := toml.Marshal(value)
	return data, eris.Wrap(err, "encode TOML")
}

// Decode decodes a value from TOML. Its errors are those of DecodeOver.
func (c TOML[T]) Decode(data []byte) (T, error) {
	var value T
	return c.DecodeOver(data, value)
}

// DecodeOver decodes TOML over the given value and returns the result; fields that the
// data doesn't set keep their values. If the error is an *UnknownFieldsError, the
// returned value is still valid. Any other error in the data gives its line and column.
func (TOML[T]) DecodeOver(data []byte, value T) (T, error) {
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := decoder.Decode(&value)
	return value, convertTOMLError(err)
}

// UnknownFieldsError is the error for a document with fields that its type doesn't have.
type UnknownFieldsError struct {
	// Fields holds the dotted paths of the fields. It is never empty.
	Fields []string
}

// Error returns a text that lists the fields.
func (u *UnknownFieldsError) Error() string {
	return "unknown fields: " + strings.Join(u.Fields, ", ")
}

// convertTOMLError turns an error of the TOML decoder into an *UnknownFieldsError, or
// into an error that gives the line and column of the fault.
func convertTOMLError(err error) error {
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		fields := make([]string, 0, len(unknown.Errors))
		for _, missing := range unknown.Errors {
			fields = append(fields, strings.Join(missing.Key(), "."))
		}
		return &UnknownFieldsError{
			Fields: fields,
		}
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, column := decodeErr.Position()
		return eris.Errorf("line %d, column %d: %s", row, column, decodeErr.Error())
	}
	return eris.Wrap(err, "decode TOML")
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
