package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	lostClients = 28
	lostFor     = 45 * time.Second
	// lostBody is the largest download of the site.
	lostBody = 540_000
	// lostAllowed is how many requests the rule allows that were passed on and got no answer.
	lostAllowed = 3
)

// lostCut reports whether the answer to a request is cut short: one in twenty at a part of the
// servers.
func lostCut(id string) bool {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	return sum.Sum32()%20 == 0
}

// runLost lets clients send a short idempotent request behind a download, while a part of the
// servers of downloads cut a few answers short.
func runLost(record *recorder, folder string, trouble bool) (bool, error) {
	d, storeAddress, err := newDeployment()
	if err != nil {
		return false, err
	}
	d.addService("archive")
	d.addService("status")
	d.addRoute("/archive/", "download", "archive", 3000)
	d.addRoute("/status/", "idempotent", "status", 4000)
	var small []*backend
	for i := range 16 {
		big, err := newBackend(fmt.Sprintf("i-big-%d", i))
		if err != nil {
			return false, err
		}
		// 18 pieces in 1.8 s are some 2.4 Mbit/s.
		big.work, big.body, big.pieces, big.pause = 50*time.Millisecond, lostBody, 18, 100*time.Millisecond
		if trouble && i < 8 {
			big.cuts = lostCut
		}
		go big.serve()
		if err := d.register(big.id, "archive", big.address(), 5); err != nil {
			return false, err
		}
		next, err := newBackend(fmt.Sprintf("i-small-%d", i))
		if err != nil {
			return false, err
		}
		next.work, next.body = 200*time.Millisecond, 400
		go next.serve()
		small = append(small, next)
		if err := d.register(next.id, "status", next.address(), 4); err != nil {
			return false, err
		}
	}
	if err := d.declare(); err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.start(folder, storeAddress, eimzaSettings); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	until := time.Now().Add(lostFor)
	var mutex sync.Mutex
	var unanswered []string
	rounds, failed := 0, 0
	var group sync.WaitGroup
	for client := range lostClients {
		group.Go(func() {
			for round := 0; time.Now().Before(until); {
				conn, err := net.Dial("tcp", d.address)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				reader := bufio.NewReader(conn)
				for kept := false; time.Now().Before(until); kept = true {
					round++
					bigID, smallID := fmt.Sprintf("big-%02d-%d", client, round), fmt.Sprintf("small-%02d-%d", client, round)
					sent := time.Now()
					bigEnd, smallEnd := lostRound(conn, reader, client, bigID, smallID)
					mutex.Lock()
					rounds++
					record.line(sent, "client %d sends %s and %s; the first ends: %s; the second: %s", client, bigID, smallID, bigEnd, smallEnd)
					if bigEnd != "200" {
						failed++
					}
					// A request on a new connection does not count.
					if smallEnd == "no answer" && kept {
						unanswered = append(unanswered, smallID)
					}
					mutex.Unlock()
					if smallEnd == "no answer" {
						break
					}
				}
				conn.Close()
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	lost := 0
	for _, id := range unanswered {
		for _, server := range small {
			if found, ok := server.get(id); ok {
				lost++
				record.line(found.at, "%s reaches the sound server %s, and ends there: %s; its connection was closed without an answer", id, server.id, found.outcome)
			}
		}
	}
	record.line(time.Now(), "%d rounds, %d downloads without a whole answer, %d requests were passed on to a sound server and got no answer; the rule allows %d",
		rounds, failed, lost, lostAllowed)
	return lost > lostAllowed, nil
}

// lostRound sends both requests and returns how they ended.
func lostRound(conn net.Conn, reader *bufio.Reader, client int, bigID, smallID string) (string, string) {
	var text strings.Builder
	for _, part := range []struct{ path, id string }{{"/archive/", bigID}, {"/status/", smallID}} {
		fmt.Fprintf(&text, "GET %s%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: 8000\r\nAuthorization: Bearer %s\r\n\r\n",
			part.path, client, host, part.id, headerDeadline, key)
	}
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return "not sent", "not sent"
	}
	first := readAnswer(reader)
	if first == "no answer" || first == "broken off" {
		return first, "no answer"
	}
	return first, readAnswer(reader)
}

func readAnswer(reader *bufio.Reader) string {
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "no answer"
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return "broken off"
	}
	return fmt.Sprint(answer.StatusCode)
}
