package operator_test

import (
	"errors"
	"testing"

	"github.com/hemlockport/hemlockport/internal/operator"
	"github.com/hemlockport/hemlockport/internal/standin/malformer"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
)

// TestMalformedAnswerSettlesNoChange guards against a malformed answer that an operator takes for the acceptance
// of a change, or for its refusal.
func TestMalformedAnswerSettlesNoChange(t *testing.T) {
	for _, answer := range malformer.RefusedWith("HTTP/1.1 422 Unprocessable Content") {
		t.Run(answer.Name, func(t *testing.T) {
			address := malformer.Start(t, answer.WithContent(`{"Revision":7}`))
			_, err := operator.New(address, "key").Change(t.Context(), publisher.Change{})
			var answered *operator.StatusError
			if err == nil || errors.As(err, &answered) {
				t.Errorf("got error %v, want one that no answer was read", err)
			}
		})
	}
}
