package pipeliner

import (
	"net/http"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/bounder"
)

// readRequest reads the next request. last reports that the caller sends no further one on
// this connection. next is nil if no request can be read; one that is malformed, too large or
// too slow, or for which the budget has no room, then gets an error response, which says that
// it has not run.
func (c *conn) readRequest() (next *exchange, last bool) {
	now := time.Now()
	c.beginHead(now)
	arrivedAt := c.source.arrivedAt
	timeout := time.Duration(c.server.limits.Load().HeaderMillis) * time.Millisecond
	c.source.setDeadline(now.Add(timeout))
	scan, status, err := c.awaitHead()
	c.source.setDeadline(time.Time{})
	held := int64(0)
	if err == nil && status == 0 {
		held = c.takeForHead(scan)
		if held == 0 {
			status = http.StatusServiceUnavailable
		}
	}
	// The head is complete, so nobody else may close the connection because it is slow.
	c.endHead()
	switch {
	case status != 0:
		c.refuse(status)
		return nil, true
	case isTimeout(err):
		c.refuseSlow()
		return nil, true
	case err != nil:
		c.cancel()
		return nil, true
	}
	request := c.parseHead()
	if request == nil || !c.takeForBody(request, &held) {
		c.server.budget.Return(held)
		return nil, true
	}
	request.RemoteAddr = c.netConn.RemoteAddr().String()
	next = newExchange(c, request)
	next.held = held
	next.arrivedAt = arrivedAt
	return next, request.Close
}

// parseHead parses the head that has arrived. It refuses a malformed one and returns nil.
func (c *conn) parseHead() *http.Request {
	c.source.parsing = true
	request, err := http.ReadRequest(c.reader)
	c.source.parsing = false
	if err != nil || request.ProtoAtLeast(1, 1) && request.Host == "" {
		c.refuse(http.StatusBadRequest)
		return nil
	}
	return request
}

// takeForBody adds to held what the body of a request costs, or refuses the request.
func (c *conn) takeForBody(request *http.Request, held *int64) bool {
	cost := bounder.BodyCost(request.ContentLength, c.server.limits.Load().BufferedBodyBytes)
	if !c.server.budget.Take(cost) {
		c.refuse(http.StatusServiceUnavailable)
		return false
	}
	*held += cost
	return true
}

// refuseSlow refuses a request whose head has not arrived in time, unless the connection has
// been stopped, which ends the read by a deadline too.
func (c *conn) refuseSlow() {
	if c.ctx.Err() == nil {
		c.refuse(http.StatusRequestTimeout)
	}
}

// refusedByStatus are the events of requests that are refused, by their status.
var refusedByStatus = map[int]Event{
	http.StatusBadRequest:                  RefusedMalformed,
	http.StatusRequestHeaderFieldsTooLarge: RefusedHeader,
	http.StatusRequestTimeout:              RefusedSlow,
	http.StatusServiceUnavailable:          RefusedHeldBytes,
}

// refuse queues an error response that closes the connection, for a request that can't
// be read.
func (c *conn) refuse(status int) {
	c.server.onEvent(refusedByStatus[status])
	refused := newExchange(c, nil)
	refused.header.Set("Content-Length", "0")
	if status == http.StatusServiceUnavailable {
		refused.header.Set("Retry-After", "1")
	}
	refused.status = status
	refused.closesConn = true
	refused.markHandlerDone()
	if c.open() {
		c.queue <- refused
	}
}
