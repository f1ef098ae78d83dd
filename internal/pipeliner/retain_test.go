package pipeliner_test

import (
	"bufio"
	"net/http"
	"net/url"
	"runtime"
	"testing"
	"weak"
)

// TestIdleConnectionKeepsNoRequest guards against an instance that runs out of memory because
// idle connections keep their last request and its response, which the budget does not count
// any more. A head of 16 KB of short lines takes some 300 KB.
func TestIdleConnectionKeepsNoRequest(t *testing.T) {
	handled := make(chan weak.Pointer[url.URL], 1)
	_, caller := startServer(t, func(_ http.ResponseWriter, request *http.Request) {
		handled <- weak.Make(request.URL)
	})
	send(t, caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	receive(t, bufio.NewReader(caller), http.MethodGet)
	last := <-handled
	await(t, func() bool {
		runtime.GC()
		return last.Value() == nil
	})
}
