// Package comparer compares encodings with golden files, for the tests of packages that
// encode.
package comparer

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/handler"
)

// Case is a sample and the golden file with the bytes that a codec makes of it. It is
// immutable.
type Case struct {
	// file names the golden file in the folder testdata of the package under test. CBOR is
	// written there in hexadecimal digits.
	file   string
	sample any
	// sparse permits zero fields in the sample.
	sparse bool
	encode func() ([]byte, error)
	decode func(data []byte) (any, error)
}

// NewCase returns the case of a sample that is encoded with a codec. The golden file is
// called file with the suffix ".golden"; a file that ends in ".cbor" holds CBOR.
func NewCase[T any](file string, codec handler.Codec[T], sample T) Case {
	return Case{
		file:   file + ".golden",
		sample: sample,
		encode: func() ([]byte, error) {
			return codec.Encode(sample)
		},
		decode: func(data []byte) (any, error) {
			return codec.Decode(data)
		},
	}
}

// WithSparse returns a copy whose sample may leave fields at zero.
func (c Case) WithSparse() Case {
	c.sparse = true
	return c
}

// File returns the name of the golden file.
func (c Case) File() string {
	return c.file
}

// Compare returns the test that compares the sample with its golden file in both
// directions. The test also fails if a field of the sample is zero, because a field that
// is not in the golden file could change unseen; WithSparse permits that. If update is
// set, the test writes the golden file first.
func (c Case) Compare(update bool) func(t *testing.T) {
	return func(t *testing.T) {
		if zero := ZeroFields(c.sample); len(zero) > 0 && !c.sparse {
			t.Errorf("%s: the sample leaves fields at zero: %s", c.file, strings.Join(zero, ", "))
		}
		encoded, err := c.encode()
		if err != nil {
			t.Fatal(err)
		}
		inHex := strings.HasSuffix(c.file, ".cbor.golden")
		text := string(encoded)
		if inHex {
			text = hex.EncodeToString(encoded) + "\n"
		}
		path := filepath.Join("testdata", c.file)
		if update {
			if err = os.WriteFile(path, []byte(text), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		golden, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if text != string(golden) {
			t.Errorf("%s: encoded as\n%swant\n%s", c.file, text, golden)
		}
		data := golden
		if inHex {
			if data, err = hex.DecodeString(strings.TrimSpace(string(golden))); err != nil {
				t.Fatal(err)
			}
		}
		decoded, err := c.decode(data)
		if err != nil {
			t.Fatalf("%s: decode %s: %v", c.file, golden, err)
		}
		if !reflect.DeepEqual(decoded, c.sample) {
			t.Errorf("%s: decoded as\n%#v\nwant\n%#v", c.file, decoded, c.sample)
		}
	}
}

// ZeroFields returns the paths of the fields in a sample that hold nothing.
func ZeroFields(sample any) []string {
	return zeroFields("", reflect.ValueOf(sample))
}

// zeroFields returns the paths of the fields in a value that hold nothing. Each begins with
// the path of the value.
func zeroFields(path string, value reflect.Value) []string {
	var found []string
	switch value.Kind() {
	case reflect.Struct:
		if value.Type() == reflect.TypeFor[time.Time]() {
			break
		}
		for i := range value.NumField() {
			if name := value.Type().Field(i).Name; name != "_" {
				found = append(found, zeroFields(path+"."+name, value.Field(i))...)
			}
		}
		return found
	case reflect.Slice, reflect.Array:
		for i := range value.Len() {
			found = append(found, zeroFields(fmt.Sprintf("%s[%d]", path, i), value.Index(i))...)
		}
		if value.Len() > 0 {
			return found
		}
		return []string{path}
	case reflect.Map:
		for _, key := range value.MapKeys() {
			found = append(found, zeroFields(fmt.Sprintf("%s[%v]", path, key), value.MapIndex(key))...)
		}
		if value.Len() > 0 {
			return found
		}
		return []string{path}
	case reflect.Pointer:
		if !value.IsNil() {
			return zeroFields(path, value.Elem())
		}
	}
	if value.IsZero() {
		return []string{path}
	}
	return nil
}
