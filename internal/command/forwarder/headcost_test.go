package forwarder_test

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/pkg/command/bounder"
)

// heldHead is what a request holds behind its head while an attempt to send it runs.
type heldHead struct {
	parsed   *http.Request
	outbound forwarder.Outbound
	attempt  http.Header
}

// TestHeadCostIsAnUpperBound guards against heads that hold more than the budget has counted for
// them: as they were parsed, the copy that goes to the upstream, and that of an attempt.
func TestHeadCostIsAnUpperBound(t *testing.T) {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	otherName := func(length int) func(number int) string {
		return func(number int) string {
			name := make([]byte, length)
			for i := range name {
				name[i] = letters[number%len(letters)]
				number /= len(letters)
			}
			return string(name)
		}
	}
	forms := []struct {
		name string
		line func(number int) string
	}{
		{
			name: "four-byte lines under one name",
			line: func(int) string { return "a:\r\n" },
		},
		{
			name: "names of two bytes",
			line: func(number int) string { return otherName(2)(number) + ":\r\n" },
		},
		{
			name: "names of four bytes",
			line: func(number int) string { return otherName(4)(number) + ": 1\r\n" },
		},
		{
			name: "names of eight bytes and long values",
			line: func(number int) string { return otherName(8)(number) + ": " + strings.Repeat("v", 80) + "\r\n" },
		},
		{
			name: "one long value",
			line: func(int) string { return "a: " + strings.Repeat("v", 4000) + "\r\n" },
		},
	}
	// The second size is the largest that a declaration may allow.
	for _, size := range []int{1 << 10, 16 << 10, 1_000_000} {
		for _, form := range forms {
			t.Run(fmt.Sprintf("%d bytes, %s", size, form.name), func(t *testing.T) {
				head, lines := fillHead(size, form.line)
				cost := bounder.HeadCost(len(head), lines)
				if held := measureHeads(t, head, 1+4_000_000/size); held > cost {
					t.Errorf("a head of %d bytes and %d lines holds %d bytes, want at most %d", len(head), lines, held, cost)
				}
			})
		}
	}
}

// fillHead returns a head of at most the given size and the number of its lines.
func fillHead(size int, line func(number int) string) (string, int) {
	var head strings.Builder
	head.WriteString("GET /patterns/1 HTTP/1.1\r\nHost: quilts.example\r\n")
	lines := 3
	for number := 0; ; number++ {
		next := line(number)
		if head.Len()+len(next)+2 > size {
			head.WriteString("\r\n")
			return head.String(), lines
		}
		head.WriteString(next)
		lines++
	}
}

// measureHeads returns how many bytes one of many heads holds.
func measureHeads(t *testing.T, head string, count int) int64 {
	t.Helper()
	held := make([]heldHead, count)
	before := liveBytes()
	for i := range held {
		parsed, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
		if err != nil {
			t.Fatal(err)
		}
		body, refusal := forwarder.ReadBody(parsed.Body, 0)
		if refusal != nil {
			t.Fatal(refusal)
		}
		outbound := forwarder.NewOutbound(parsed, body, "team", true, time.Time{})
		held[i] = heldHead{
			parsed:   parsed,
			outbound: outbound,
			attempt:  parsed.Header.Clone(),
		}
	}
	after := liveBytes()
	runtime.KeepAlive(held)
	return (after - before) / int64(count)
}

// liveBytes returns the size of what is reachable on the heap.
func liveBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
