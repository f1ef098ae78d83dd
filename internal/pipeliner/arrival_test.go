package pipeliner_test

import (
	"net/http"
	"testing"
	"time"
)

// arrivalReporter is what the server's responses implement.
type arrivalReporter interface {
	ArrivedAt() time.Time
}

// TestRequestsTellWhenTheyArrived guards against a request whose time begins anew when it is read or its turn on the connection has come: its upstream would be given more time than its caller waits.
func TestRequestsTellWhenTheyArrived(t *testing.T) {
	const (
		order = "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
		view  = "GET /view HTTP/1.1\r\nHost: a\r\n\r\n"
		last  = "GET /last HTTP/1.1\r\nHost: a\r\n\r\n"
	)
	cases := []struct {
		name string
		// parts are written with partInterval between them. The handler answers the order after
		// orderTime.
		parts []string
		// wantPart is the part with which the request for /last arrives.
		wantPart int
	}{
		{
			name:  "alone",
			parts: []string{last},
		},
		{
			name:  "behind an order, with it",
			parts: []string{order + last},
		},
		{
			name:  "behind an order and a view, with them",
			parts: []string{order + view + last},
		},
		{
			name:     "behind an order and a view, later",
			parts:    []string{order + view, last},
			wantPart: 1,
		},
		{
			name:     "behind an order, later",
			parts:    []string{order, last},
			wantPart: 1,
		},
		{
			name:  "in two parts",
			parts: []string{last[:len(last)-4], last[len(last)-4:]},
		},
	}
	const (
		partInterval = 200 * time.Millisecond
		orderTime    = 600 * time.Millisecond
		tolerance    = 100 * time.Millisecond
	)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			arrived := make(chan time.Time, 1)
			_, caller := startServer(t, func(w http.ResponseWriter, request *http.Request) {
				switch request.URL.Path {
				case "/order":
					time.Sleep(orderTime)
				case "/last":
					arrived <- w.(arrivalReporter).ArrivedAt()
				}
			})
			var sentAt time.Time
			for i, part := range c.parts {
				if i > 0 {
					time.Sleep(partInterval)
				}
				if i == c.wantPart {
					sentAt = time.Now()
				}
				send(t, caller, part)
			}
			got := (<-arrived).Sub(sentAt)
			if got < -tolerance || got > tolerance {
				t.Errorf("got an arrival %v after the request was sent, want within %v", got, tolerance)
			}
		})
	}
}
