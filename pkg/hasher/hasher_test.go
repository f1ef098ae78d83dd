package hasher_test

import (
	"hash/fnv"
	"strings"
	"testing"

	"github.com/hemlockport/hemlockport/pkg/hasher"
)

// TestSum checks that sums are those of FNV-1a in the standard library. They must not
// change: instances of two versions of this software would choose differently.
func TestSum(t *testing.T) {
	cases := []struct {
		name  string
		texts []string
	}{
		{
			name: "nothing",
		},
		{
			name:  "a name",
			texts: []string{"i-7f3a91c2"},
		},
		{
			name:  "a name in parts",
			texts: []string{"quilters", "/", "entry-1"},
		},
	}
	for _, c := range cases {
		want := fnv.New64a()
		want.Write([]byte(strings.Join(c.texts, "")))
		if got := hasher.Sum(c.texts...); got != want.Sum64() {
			t.Errorf("%s: got %x, want %x", c.name, got, want.Sum64())
		}
	}
}

// TestMix checks Mix against known values, which must not change for the same reason.
func TestMix(t *testing.T) {
	cases := []struct {
		number uint64
		want   uint64
	}{
		{
			number: 0,
			want:   0,
		},
		{
			number: 1,
			want:   0x5692161d100b05e5,
		},
	}
	for _, c := range cases {
		if got := hasher.Mix(c.number); got != c.want {
			t.Errorf("Mix(%d): got %x, want %x", c.number, got, c.want)
		}
	}
}
