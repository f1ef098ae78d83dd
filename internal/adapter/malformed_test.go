package adapter_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/internal/adapter"
	"github.com/hemlockport/hemlockport/internal/standin/malformer"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// callMalformed makes a call that gets one answer.
func callMalformed(t *testing.T, method string, answer malformer.Answer) error {
	t.Helper()
	client, err := adapter.NewClient("http://"+malformer.Start(t, answer), "", func(status int) (arbiter.Verdict, error) {
		switch status {
		case http.StatusNotFound:
			return arbiter.NotRun, storer.ErrNotFound
		case http.StatusConflict:
			return arbiter.NotRun, storer.ErrConflict
		default:
			return arbiter.MayHaveRun, storer.ErrUnavailable
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	_, err = client.Call(t.Context(), adapter.Call{
		Method:   method,
		Path:     "/objects",
		Body:     []byte("quilt"),
		Deadline: time.Now().Add(5 * time.Second),
	})
	return err
}

// TestMalformedAnswerSettlesNoCall guards against a malformed answer that counts as a success, as the
// confirmation of a write, or as the proof that a write has not happened or that an object does
// not exist.
func TestMalformedAnswerSettlesNoCall(t *testing.T) {
	for _, answer := range malformer.RefusedWith("HTTP/1.1 404 Not Found", "HTTP/1.1 409 Conflict") {
		for _, method := range []string{http.MethodPut, http.MethodPost, http.MethodDelete, http.MethodGet} {
			t.Run(answer.Name+"/"+method, func(t *testing.T) {
				t.Parallel()
				err := callMalformed(t, method, answer)
				if !errors.Is(err, storer.ErrUnavailable) {
					t.Fatalf("got error %v, want %v", err, storer.ErrUnavailable)
				}
				if method != http.MethodGet && storer.OutcomeKnown(err) {
					t.Errorf("got error %v with a known outcome, want one that leaves it open", err)
				}
			})
		}
	}
}

// TestWellFormedAnswersSettleCalls checks that the rule on answers refuses none that is well formed.
func TestWellFormedAnswersSettleCalls(t *testing.T) {
	for _, answer := range malformer.Answers() {
		if answer.Fate != malformer.Passes || answer.WantStatus() >= http.StatusMultipleChoices {
			continue
		}
		t.Run(answer.Name, func(t *testing.T) {
			if err := callMalformed(t, http.MethodPut, answer); err != nil {
				t.Errorf("got error %v, want none", err)
			}
		})
	}
}

// TestAnswerWithoutRevisionSettlesNothing guards against a write that counts as confirmed by an answer that lacks the
// revision, on which the next conditional write would have no condition.
func TestAnswerWithoutRevisionSettlesNothing(t *testing.T) {
	for _, tag := range []string{"", "ETag: \"0\"\r\n", "ETag: \"quilt\"\r\n", "ETag: 7\r\n"} {
		t.Run(tag, func(t *testing.T) {
			answer := malformer.Answer{
				Fields: tag + malformer.LengthField,
				Body:   malformer.Body,
			}
			store, err := adapter.New("http://"+malformer.Start(t, answer), "")
			if err != nil {
				t.Fatal(err)
			}
			_, err = store.Put(t.Context(), "Head", []byte("1"), storer.Absent())
			if !errors.Is(err, storer.ErrUnavailable) || storer.OutcomeKnown(err) {
				t.Errorf("Put: got error %v, want %v with an open outcome", err, storer.ErrUnavailable)
			}
			if _, err = store.Get(t.Context(), "Head"); !errors.Is(err, storer.ErrUnavailable) {
				t.Errorf("Get: got error %v, want %v", err, storer.ErrUnavailable)
			}
		})
	}
}
