package receiver_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// FuzzRequest sends arbitrary bytes in place of a request's header. Whatever they
// are, the key must not reach the upstream.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET /orders/1 HTTP/1.1\r\nHost: shopfront\r\nAuthorization: Bearer " + callerKey + "\r\n\r\n"))
	f.Add([]byte("POST /a/../b HTTP/1.1\r\nHost: shopfront\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: shopfront\r\nConnection: Authorization\r\nHemlockport-Timeout-Millis: 1\r\n\r\n"))
	seen := make(chan []byte, 1)
	upstream := newScriptedUpstream(f, func(_ testing.TB, conn net.Conn, request *bufio.Reader) {
		var raw bytes.Buffer
		message, err := http.ReadRequest(bufio.NewReader(io.TeeReader(request, &raw)))
		if err != nil {
			return
		}
		message.Body.Close()
		select {
		case seen <- raw.Bytes():
		default:
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	})
	entry := newEntry(f, upstream.address)
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", entry.address)
		if err != nil {
			t.Skip(err)
		}
		defer conn.Close()
		_, _ = conn.Write(data)
		_ = conn.(*net.TCPConn).CloseWrite()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		select {
		case raw := <-seen:
			if strings.Contains(string(raw), callerKey) {
				t.Fatalf("got the caller's key at the upstream in %q, want no key", raw)
			}
		default:
		}
	})
}
