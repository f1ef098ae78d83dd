package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	// goneClients is the number of clients that leave, and goneAhead how many requests each has
	// sent by then.
	goneClients = 20
	goneAhead   = 3
	// goneWork is how long a server works on a request.
	goneWork = 1500 * time.Millisecond
	// goneAfter is when a client leaves, after it has sent its requests.
	goneAfter = 300 * time.Millisecond
	// goneLate is how late a request may reach a server, or a server be at work, after the
	// client's close by the rule.
	goneLate = 500 * time.Millisecond
	// goneAllowed is how many requests may reach a server so late: the rule says "a few".
	goneAllowed = 5
)

// runGone lets clients that have sent several idempotent requests ahead leave before the first
// answer. Without the trouble each client sends the same and stays.
func runGone(record *recorder, folder string, trouble bool) (bool, error) {
	d, storeAddress, err := newDeployment()
	if err != nil {
		return false, err
	}
	d.addService("sewingroom")
	d.addRoute("/status/", "idempotent", "sewingroom", 6000)
	var servers []*backend
	for i := range 20 {
		server, err := newBackend(fmt.Sprintf("i-gone-%d", i))
		if err != nil {
			return false, err
		}
		server.work, server.body = goneWork, 400
		go server.serve()
		servers = append(servers, server)
		if err := d.register(server.id, "sewingroom", server.address(), 4); err != nil {
			return false, err
		}
	}
	if err := d.declare(); err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.start(folder, storeAddress, quiltwaySettings); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	closedAt := map[string]time.Time{}
	var conns []net.Conn
	for i := range goneClients {
		conn, err := net.Dial("tcp", d.address)
		if err != nil {
			return false, err
		}
		conns = append(conns, conn)
		var text strings.Builder
		for j := range goneAhead {
			id := goneID(i, j)
			fmt.Fprintf(&text, "%s /status/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: 8000\r\nAuthorization: Bearer %s\r\nContent-Length: 20\r\n\r\n%s",
				"POST", i, host, id, headerDeadline, key, strings.Repeat("q", 20))
			record.line(time.Now(), "client %d sends %s", i, id)
		}
		if _, err := conn.Write([]byte(text.String())); err != nil {
			return false, err
		}
	}
	time.Sleep(goneAfter)
	for i, conn := range conns {
		if trouble {
			conn.Close()
			record.line(time.Now(), "client %d closes its connection", i)
		}
		for j := range goneAhead {
			closedAt[goneID(i, j)] = time.Now()
		}
	}
	if !trouble {
		if err := readGoneAnswers(record, conns); err != nil {
			return false, err
		}
	}
	time.Sleep(goneWork*goneAhead + 1500*time.Millisecond)
	late, atWork, lasting := 0, 0, 0
	for i := range goneClients {
		for j := range goneAhead {
			id := goneID(i, j)
			for _, server := range servers {
				found, ok := server.get(id)
				if !ok {
					continue
				}
				record.line(found.at, "%s reaches %s", id, server.id)
				record.line(found.ended, "%s ends there: %s", id, found.outcome)
				since := found.at.Sub(closedAt[id])
				if since > goneLate {
					late++
				}
				if found.at.Before(closedAt[id]) && found.at.Add(goneWork).After(closedAt[id].Add(goneLate)) {
					lasting++
					if found.ended.After(closedAt[id].Add(goneLate)) {
						atWork++
					}
				}
			}
		}
	}
	for _, conn := range conns {
		conn.Close()
	}
	record.line(time.Now(), "%d requests reached a server over half a second after their client had closed its connection", late)
	record.line(time.Now(), "at %d of %d requests that would have lasted so long a server was still at work half a second after the close", atWork, lasting)
	if !trouble {
		record.line(time.Now(), "no client has left, so that nothing of this is late")
		return false, nil
	}
	if lasting == 0 {
		return false, errors.New("no request has reached a server before its client left")
	}
	return late > goneAllowed || 4*atWork > lasting, nil
}

// readGoneAnswers reads the answers of the clients that stay.
func readGoneAnswers(record *recorder, conns []net.Conn) error {
	for i, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		reader := bufio.NewReader(conn)
		for j := range goneAhead {
			answer := readAnswer(reader)
			record.line(time.Now(), "client %d gets the answer to %s: %s", i, goneID(i, j), answer)
			if answer != "200" {
				return fmt.Errorf("the answer to %s is %s", goneID(i, j), answer)
			}
		}
	}
	return nil
}

func goneID(client, number int) string {
	return fmt.Sprintf("gone-%03d-%d", client, number)
}
