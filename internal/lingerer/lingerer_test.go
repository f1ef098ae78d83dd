package lingerer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/lingerer"
)

// answerBytes is more than the buffers of both ends hold.
const answerBytes = 8 << 20

// A caller that has sent a second request ahead gets the whole answer to the first
// one, though that ends the connection.
func TestLastAnswerArrives(t *testing.T) {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := lingerer.New(opened)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			io.WriteString(w, strings.Repeat("x", answerBytes))
		}),
	}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		server.Close()
		_ = group.Wait()
		listener.Wait()

	})
	caller, err := net.Dial("tcp", opened.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	// The second request is larger than what the server reads ahead.
	ahead := "GET /2 HTTP/1.1\r\nHost: a\r\nX-Fill: " + strings.Repeat("y", 16<<10) + "\r\n\r\n"
	if _, err = io.WriteString(caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"+ahead); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(caller)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	// The caller reads on only once the server has closed.
	time.Sleep(100 * time.Millisecond)
	count, err := io.Copy(io.Discard, response.Body)
	if err != nil || count != answerBytes {
		t.Fatalf("%d bytes and error %v, want %d bytes", count, err, answerBytes)
	}
}
