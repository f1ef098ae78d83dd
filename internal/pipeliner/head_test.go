package pipeliner

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// FuzzHead guards against a scan that finds another end of a head than the parser: bytes of
// one request would then be taken for another, or the parser would wait for more.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET",
		"GET / HTTP/1.1\nHost: a\n\nbody",
		"POST / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n \r\n\r\n\r\n",
		"\r\nGET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\r\n\r\n",
		"GET / HTTP/1.1\r\n\t\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nno-colon\r\n: empty\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\na: 1\r2\r\r\nb:\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;e\r\na\r\n0\r\nt: 1\r\n\r\n",
	} {
		f.Add([]byte(seed), uint8(1))
	}
	f.Fuzz(func(t *testing.T, data []byte, step uint8) {
		reader := bufio.NewReaderSize(bytes.NewReader(data), len(data)+16)
		_, err := http.ReadRequest(reader)
		parsed := len(data) - reader.Buffered()
		var scan headScan
		complete := false
		for arrived := 0; arrived < len(data) && !complete; {
			arrived = min(len(data), arrived+int(step)+1)
			complete = scan.advance(data[:arrived])
		}
		if scan.lines > scan.scanned {
			t.Errorf("got %d lines in %d bytes", scan.lines, scan.scanned)
		}
		if err == nil && (!complete || scan.scanned != parsed) {
			t.Errorf("got complete %t at %d, want the end of the head at %d", complete, scan.scanned, parsed)
		}
	})
}
