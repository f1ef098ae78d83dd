package scanner_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/hemlockport/hemlockport/internal/scanner"
)

// beyondDepth is a depth at which encoding/json refuses a document.
const beyondDepth = 20_000

var nestedArrays = strings.Repeat("[", beyondDepth) + strings.Repeat("]", beyondDepth)

// arrays are documents, and the elements into which each is split.
var arrays = []struct {
	name     string
	document string
	want     []string
	refused  bool
}{
	{
		name:     "empty",
		document: " [ ] ",
	},
	{
		name:     "values of all kinds",
		document: `[1, "a" ,null,true,{"b":[2]},[3,4],-1.5e9]`,
		want:     []string{"1", `"a"`, "null", "true", `{"b":[2]}`, "[3,4]", "-1.5e9"},
	},
	{
		name:     "brackets and quotes in strings",
		document: `["]", "\"]", "\\", {"}": "{"}]`,
		want:     []string{`"]"`, `"\"]"`, `"\\"`, `{"}": "{"}`},
	},
	{
		name:     "nested beyond the depth of encoding/json",
		document: "[1," + nestedArrays + ",2]",
		want:     []string{"1", nestedArrays, "2"},
	},
	{
		name:     "values that are no JSON",
		document: "[1,NaN,{a},1e400,\xff,2]",
		want:     []string{"1", "NaN", "{a}", "1e400", "\xff", "2"},
	},
	{
		name:     "no array",
		document: `{"a":1}`,
		refused:  true,
	},
	{
		name:     "cut",
		document: `[1,{"a":`,
		refused:  true,
	},
	{
		name:     "cut in a string",
		document: `[1,"a\`,
		refused:  true,
	},
	{
		name:     "comma at the end",
		document: `[1,]`,
		refused:  true,
	},
	{
		name:     "two values without a comma",
		document: `[1 2]`,
		refused:  true,
	},
	{
		name:     "bytes behind the array",
		document: `[1]2`,
		refused:  true,
	},
	{
		name:    "nothing",
		refused: true,
	},
}

func TestElements(t *testing.T) {
	for _, c := range arrays {
		t.Run(c.name, func(t *testing.T) {
			got, err := scanner.Elements([]byte(c.document))
			var syntax *scanner.SyntaxError
			if c.refused != errors.As(err, &syntax) {
				t.Fatalf("got %d elements and error %v, want refused %t", len(got), err, c.refused)
			}
			texts := make([]string, 0, len(got))
			for _, element := range got {
				texts = append(texts, string(element))
			}
			if !slices.Equal(texts, c.want) {
				t.Errorf("got %q, want %q", texts, c.want)
			}
		})
	}
}

func TestFields(t *testing.T) {
	cases := []struct {
		name     string
		document string
		field    string
		want     string
		refused  bool
	}{
		{
			name:     "a field among others",
			document: `{"a":1, "b" : {"c":[2]} ,"d":3}`,
			field:    "b",
			want:     `{"c":[2]}`,
		},
		{
			name:     "an escaped name",
			document: `{"\u0062":1}`,
			field:    "b",
			want:     "1",
		},
		{
			name:     "the last of several",
			document: `{"a":1,"a":2}`,
			field:    "a",
			want:     "2",
		},
		{
			name:     "a field beside one that is nested too deep",
			document: `{"a":` + nestedArrays + `,"b":2}`,
			field:    "b",
			want:     "2",
		},
		{
			name:     "a name that is no text",
			document: `{1:2}`,
			refused:  true,
		},
		{
			name:     "a name without a value",
			document: `{"a"}`,
			refused:  true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fields, err := scanner.Fields([]byte(c.document))
			if c.refused != (err != nil) {
				t.Fatalf("got error %v, want refused %t", err, c.refused)
			}
			if got := string(scanner.Lookup(fields, c.field)); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// FuzzElements checks that a valid document is split as encoding/json splits it, and that no
// other one ends the process.
func FuzzElements(f *testing.F) {
	for _, c := range arrays {
		f.Add([]byte(c.document))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		got, err := scanner.Elements(document)
		var want []json.RawMessage
		if document = bytes.TrimSpace(document); !bytes.HasPrefix(document, []byte("[")) {
			return
		}
		if json.Unmarshal(document, &want) != nil {
			return
		}
		if err != nil || len(got) != len(want) {
			t.Fatalf("got %q and error %v, want %q", got, err, want)
		}
		for i := range want {
			if !bytes.Equal(got[i], want[i]) {
				t.Errorf("element %d: got %q, want %q", i, got[i], want[i])
			}
		}
	})
}

// FuzzFields checks that a valid document is split as encoding/json splits it, and that no
// other one ends the process.
func FuzzFields(f *testing.F) {
	f.Add([]byte(`{"a":1, "b" : {"c":[2]} ,"\u0064":3}`))
	f.Add([]byte(`{"a":` + nestedArrays + `}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		fields, err := scanner.Fields(document)
		var want map[string]json.RawMessage
		if json.Unmarshal(document, &want) != nil || want == nil {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		for name, value := range want {
			if got := scanner.Lookup(fields, name); !bytes.Equal(got, value) {
				t.Errorf("field %q: got %q, want %q", name, got, value)
			}
		}
	})
}
