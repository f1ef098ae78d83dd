package platformer

import (
	"testing"

	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/internal/standin/malformer"
)

// TestBrokenHealthListsNoInstance guards against a list of instances that holds one whose answer is malformed or says
// that it failed.
func TestBrokenHealthListsNoInstance(t *testing.T) {
	answers := append(malformer.Refused(), malformer.Answer{}.WithStatusLine("HTTP/1.1 500 Failed"))
	for _, answer := range answers {
		t.Run(answer.Name, func(t *testing.T) {
			address := malformer.Start(t, answer.WithContent(`{"Incarnation":"a"}`))
			poller := NewInstancePoller(memstorer.New())
			poller.poll(t.Context(), address)
			if got, found := poller.listed[address]; found {
				t.Errorf("got the instance %+v, want none", got)
			}
		})
	}
}
