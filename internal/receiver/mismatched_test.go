package receiver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"
)

// TestCrossedAnswers guards against mismatched answers. The upstream sends each
// answer twice, so that the second copy is read where the answer to the next request
// on the connection is expected. No caller may get the answer to another request.
func TestCrossedAnswers(t *testing.T) {
	const callers, requests = 8, 500
	upstream := newScriptedUpstream(t, func(_ testing.TB, conn net.Conn, request *bufio.Reader) {
		for {
			message, err := http.ReadRequest(request)
			if err != nil {
				return
			}
			body := message.URL.Path
			answer := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
			if _, err = io.WriteString(conn, answer+answer); err != nil {
				return
			}
		}
	})
	entry := newEntry(t, upstream.address)
	var mismatched, answered atomic.Int64
	var group errgroup.Group
	for caller := range callers {
		client := &http.Client{
			Transport: &http.Transport{},
		}
		group.Go(func() error {
			for i := range requests {
				path := fmt.Sprintf("/orders/%d-%d", caller, i)
				response, err := client.Do(entry.request(t, http.MethodGet, path, nil))
				if err != nil {
					return err
				}
				body, err := io.ReadAll(response.Body)
				response.Body.Close()
				if err != nil || response.StatusCode != http.StatusOK {
					// A refusal is allowed: the entry instance closes a connection with an
					// unsolicited answer.
					continue
				}
				answered.Add(1)
				if string(body) != path {
					mismatched.Add(1)
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if mismatched.Load() > 0 || answered.Load() < callers*requests/2 {
		t.Fatalf("got %d answers, %d of them mismatched, want answers to half of the requests and none mismatched", answered.Load(), mismatched.Load())
	}
}
