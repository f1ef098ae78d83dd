package borrower

import (
	"testing"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/timestamper"
)

// BenchmarkLoanBytes reports the total size of the frames of one loan: an ask, a
// grant and a settlement. The size is the same on every run.
func BenchmarkLoanBytes(b *testing.B) {
	total := 0
	for b.Loop() {
		total = loanBytes(b)
	}
	b.ReportMetric(float64(total), "B/loan")
}

func loanBytes(b *testing.B) int {
	ask := Ask{
		Number:         1_000_000,
		Resource:       "hartley-quilts",
		Units:          12,
		PatienceMillis: 800,
	}
	settlement := []Settlement{
		{
			Number:   1_000_000,
			Resource: "hartley-quilts",
			Unused:   3,
		},
	}
	frames := []linker.Frame{
		{
			Kind:  linker.KindCall,
			ID:    1_000_000,
			Topic: topicLend,
			Body:  must(askCodec.Encode(ask)),
		},
		{
			Kind: linker.KindAnswer,
			ID:   1_000_000,
			Body: must(grantCodec.Encode(Grant{
				Units: 12,
			})),
		},
		{
			Kind:  linker.KindSend,
			Topic: topicSettle,
			Body:  must(settlementsCodec.Encode(settlement)),
		},
	}
	total := 0
	for _, frame := range frames {
		frame.Stamp = timestamper.Timestamp(1 << 62)
		data, err := encoder.CBOR[linker.Frame]{}.Encode(frame)
		if err != nil {
			b.Fatal(err)
		}
		total += len(data)
	}
	return total
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}
