package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// movedOverlap is how long the store answers at both addresses after the settings have changed.
	movedOverlap = 6 * time.Second
	// movedContact and movedConfig are contact_ms and config_ms of the site.
	movedContact = 4 * time.Second
	movedConfig  = 2500 * time.Millisecond
	newKey       = "k-review-3-next"
)

// door serves a store at one address, until it is closed with its connections.
type door struct {
	server   *http.Server
	listener net.Listener
}

func openDoor(store http.Handler) (*door, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	opened := &door{server: &http.Server{Handler: store}, listener: listener}
	go func() { _ = opened.server.Serve(listener) }()
	return opened, nil
}

// runMoved moves the store to another address, which the settings file then names; a SIGHUP says so.
// Later a desired state takes a key away and adds another. Without the trouble the store stays.
func runMoved(record *recorder, folder string, trouble bool) (bool, error) {
	d, _, err := newDeployment()
	if err != nil {
		return false, err
	}
	d.addService("sewingroom")
	d.addRoute("/status/", "idempotent", "sewingroom", 4000)
	d.addRoute("/orders/", "non_idempotent", "sewingroom", 4000)
	var servers []*backend
	for i := range 4 {
		server, err := newBackend(fmt.Sprintf("i-moved-%d", i))
		if err != nil {
			return false, err
		}
		server.work, server.body = 20*time.Millisecond, 400
		go server.serve()
		servers = append(servers, server)
		if err := d.register(server.id, "sewingroom", server.address(), 16); err != nil {
			return false, err
		}
	}
	if err := d.declare(); err != nil {
		return false, err
	}
	first, err := openDoor(d.store)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.start(folder, first.listener.Addr().String(), quiltwaySettings); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if answer := d.order("before", key); answer != "200" {
		return false, fmt.Errorf("an order with the key before all is answered %s", answer)
	}
	second, err := openDoor(d.store)
	if err != nil {
		return false, err
	}
	if trouble {
		if err := d.moveStore(folder, first.listener.Addr().String(), second.listener.Addr().String()); err != nil {
			return false, err
		}
		record.line(time.Now(), "the settings file names the store's new address, and the instance gets SIGHUP; the store answers at both addresses")
		time.Sleep(movedOverlap)
		first.server.Close()
		record.line(time.Now(), "the store no longer answers at its old address")
	} else {
		time.Sleep(movedOverlap)
	}
	// The machine is in touch again contact_ms later at the latest.
	time.Sleep(movedContact + time.Second)
	if err := d.declareKeys("00000005", newKey); err != nil {
		return false, err
	}
	confirmed := time.Now()
	record.line(confirmed, "the store confirms version 00000005, which drops the key and adds another")
	time.Sleep(movedConfig + 500*time.Millisecond)
	ran, denied := 0, 0
	var group sync.WaitGroup
	var mutex sync.Mutex
	for i := range 40 {
		group.Go(func() {
			oldID, newID := fmt.Sprintf("old-%02d", i), fmt.Sprintf("new-%02d", i)
			sent := time.Now()
			oldAnswer, newAnswer := d.order(oldID, key), d.order(newID, newKey)
			mutex.Lock()
			defer mutex.Unlock()
			record.line(sent, "an order with the dropped key, %s, is answered %s; one with the new key, %s, %s", oldID, oldAnswer, newID, newAnswer)
			for _, server := range servers {
				if found, ok := server.get(oldID); ok {
					ran++
					record.line(found.at, "%s runs at %s", oldID, server.id)
				}
			}
			if newAnswer == "401" {
				denied++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	record.line(time.Now(), "%d of 40 orders with a key that was dropped over %v before have run; %d of 40 with the key that the version has were answered 401", ran, movedConfig, denied)
	return ran > 0 || denied > 0, nil
}

// order sends an order and returns the status of its answer.
func (d *deployment) order(id, secret string) string {
	conn, err := net.Dial("tcp", d.address)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "POST /orders/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: 4000\r\nAuthorization: Bearer %s\r\nContent-Length: 5\r\n\r\nquilt",
		id, host, id, headerDeadline, secret)
	return readAnswer(bufio.NewReader(conn))
}

// moveStore replaces the store's address in the settings file, and tells the instance.
func (d *deployment) moveStore(folder, before, after string) error {
	path := settingsPath(folder)
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	changed := strings.Replace(string(text), `Address = "http://`+before, `Address = "http://`+after, 1)
	if err := os.WriteFile(path+".next", []byte(changed), 0o600); err != nil {
		return err
	}
	if err := os.Rename(path+".next", path); err != nil {
		return err
	}
	return d.command.Process.Signal(syscall.SIGHUP)
}
