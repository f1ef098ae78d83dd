package linker

import (
	"bytes"
	"testing"

	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// TestCapacityIsNotPartOfTheMAC guards against a new build that no older build accepts: the
// older one drops the capacity when it decodes the proof.
func TestCapacityIsNotPartOfTheMAC(t *testing.T) {
	member := registrar.Member{
		Incarnation: "a",
		Name:        "a",
	}
	var codes [2][]byte
	for i, cores := range []float64{0, 0.112} {
		code, err := computeMAC("0123456789abcdef", roleDial, nil, nil, member.WithCapacity(registrar.Capacity{
			Cores: cores,
		}))
		if err != nil {
			t.Fatal(err)
		}
		codes[i] = code
	}
	if !bytes.Equal(codes[0], codes[1]) {
		t.Fatal("got different codes with and without a capacity, want the same")
	}
}
