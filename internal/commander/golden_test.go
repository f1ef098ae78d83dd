package commander

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/handler"
)

var update = flag.Bool("update", false, "write the golden files again")

// goldenCase is a sample and the golden file with the bytes that a codec makes of it.
type goldenCase struct {
	// file names the golden file in testdata. CBOR is written there in hexadecimal
	// digits.
	file   string
	sample any
	// sparse permits zero fields in the sample.
	sparse bool
	encode func() ([]byte, error)
	decode func(data []byte) (any, error)
}

// newGoldenCase returns the case of a sample that is encoded with a codec.
func newGoldenCase[T any](file string, codec handler.Codec[T], sample T) goldenCase {
	return goldenCase{
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

// run compares the sample with its golden file in both directions.
func (c goldenCase) run(t *testing.T) {
	if zero := zeroFields("", reflect.ValueOf(c.sample)); len(zero) > 0 && !c.sparse {
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
	if *update {
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

// zeroFields returns the paths of the fields in a value that hold nothing.
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

// TestEncodingsMatchGoldenFiles checks that the encodings which other processes, callers
// and stores read have not changed. After an intended change, go test ./internal/commander
// -run TestEncodingsMatchGoldenFiles -update writes the golden files again.
func TestEncodingsMatchGoldenFiles(t *testing.T) {
	cases := []goldenCase{
		newGoldenCase("checked.json", encoder.JSON[checked]{}, checked{
			Objects: 2,
		}),
		newGoldenCase("versions.json", encoder.JSON[versions]{}, versions{
			Version: "version",
		}),
	}
	for _, c := range cases {
		t.Run(c.file, c.run)
	}
}
