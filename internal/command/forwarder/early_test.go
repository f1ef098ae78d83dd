package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// pausingBody is a body of two parts. The second comes after the upstream has answered.
type pausingBody struct {
	answered <-chan struct{}
	parts    int
}

// answerTravel is long enough for an answer on the loopback interface to be read.
const answerTravel = 10 * time.Millisecond

func (b *pausingBody) Read(p []byte) (int, error) {
	b.parts++
	switch b.parts {
	case 1:
		return copy(p, "one "), nil
	case 2:
		<-b.answered
		time.Sleep(answerTravel)
		return copy(p, "quilt"), nil
	default:
		return 0, io.EOF
	}
}

// TestAnswerBeforeTheEndOfTheBody guards against an answer that is lost because it arrives while the body of its own request is still sent.
func TestAnswerBeforeTheEndOfTheBody(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		status int
	}{
		{
			name:   "with a body",
			answer: "HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\nfailed",
			status: http.StatusInternalServerError,
		},
		{
			name:   "without a body",
			answer: "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
			status: http.StatusInternalServerError,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			answered := make(chan struct{})
			var group errgroup.Group
			group.Go(func() error {
				conn, err := listener.Accept()
				if err != nil {
					return err
				}
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return err
				}
				_, err = io.WriteString(conn, c.answer)
				close(answered)
				_, _ = io.Copy(io.Discard, request.Body)
				return err
			})
			sender := New()
			t.Cleanup(func() {
				sender.Close()
				listener.Close()
				if err := group.Wait(); err != nil {
					t.Error(err)
				}
			})
			request, err := http.NewRequest(http.MethodPost, "http://shopfront/orders", &pausingBody{
				answered: answered,
			})
			if err != nil {
				t.Fatal(err)
			}
			body, refusal := ReadBody(request.Body, -1)
			if refusal != nil {
				t.Fatal(refusal)
			}
			target := Target{
				Name:    "upstream",
				Address: listener.Addr().String(),
			}
			outbound := NewOutbound(request, body, "quilters", true, time.Now().Add(time.Second))
			answer, err := sender.Send(t.Context(), target, outbound)
			if err != nil {
				t.Fatalf("got error %v, want the answer", err)
			}
			defer answer.Response.Body.Close()
			if answer.Response.StatusCode != c.status {
				t.Errorf("got status %d, want %d", answer.Response.StatusCode, c.status)
			}
		})
	}
}
