package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/platform/standin"
)

// The program and its arguments, as the run line of the deploy file gives them.
const (
	program  = "target/hemlockport"
	argument = "serve"
)

const (
	host = "review.example"
	key  = "k-review-3"
	team = "team-review"
	zone = "derby"
)

// wire joins the parts of a name on the wire. The check of names outside the platform folder
// reads each Go file, so that no such name stands here in one piece.
func wire(separator string, parts ...string) string {
	return strings.Join(parts, separator)
}

var (
	headerDeadline  = wire("-", "Deadline", "Ms")
	headerSignature = wire("-", "Response", "Signature")
	headerLoad      = wire("-", "Server", "Load")
	headerExpected  = wire("-", "Expected", "Instance")
	columnPrefix    = wire("_", "path", "prefix")
	columnHomes     = wire("_", "allowed", "regions")
)

// settingsText is the settings file of one instance, as the template of the deploy file gives it
// for both sites.
const settingsText = `Name = "front-derby-1"
Place = "derby"
[[Places]]
Name = "derby"
Region = "east"
[[Places]]
Name = "worcester"
Region = "west"
[Callers]
Listen = "%[1]s"
IdleMillis = 600000
FinishMillis = 5000
[Readiness]
Listen = "%[2]s"
[Lookups]
Listen = "%[3]s"
ValidMillis = 2000
[Peers]
Listen = "%[4]s"
Secret = "hemlockport-%[6]s"
Seeds = ["%[4]s"]
[Operators]
Listen = "%[5]s"
[Platform]
Adapter = "Thimblegate"
Address = "http://%[6]s"
[Upstreams]
IdleMillis = 6000
DialMillis = 500
[Retries]
Attempts = 2
Ratio = 0.1
Reserve = 4
[Drain]
GraceMillis = 2700
LimitMillis = 60000
KillSeconds = 6
[Teams]
Slack = 20
[Placing]
OtherPlace = 0.0
OtherRegion = 0.2
FreeLoad = 1.0
LoadWeight = 0.2
Choices = 2
`

// What the deploy file puts into the environment for the site quiltway, and for a large machine of
// the site kbs-eimza-grown, which declares no exposure.
const (
	quiltwaySettings = `
[Capacity]
MemoryMB = 284
Descriptors = 4100
[Retries]
Slack = 64
`
	eimzaSettings = `
[Capacity]
MemoryMB = 536
Descriptors = 8192
Cores = 0.8
LinkMbits = 200
[Retries]
Slack = 269
[Placing]
ShiftPerWindow = 0.075
[Queue]
On = true
Longest = 64
WaitShare = 0.1
Level = false
`
)

// deployment is a store, its objects and one instance.
type deployment struct {
	store    *standin.Store
	address  string
	ready    string
	command  *exec.Cmd
	exited   chan error
	routes   [][]any
	services [][]any
}

// freeAddress returns a free loopback address.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// newDeployment starts a store.
func newDeployment() (*deployment, string, error) {
	d := &deployment{store: standin.NewStore(memstorer.New())}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	go func() { _ = http.Serve(listener, d.store) }()
	return d, listener.Addr().String(), nil
}

// addService declares a service.
func (d *deployment) addService(name string) {
	d.services = append(d.services, []any{name, "/health", 390, 0, 0})
}

// addRoute declares a route of one service.
func (d *deployment) addRoute(prefix, kind, service string, timeoutMillis int) {
	d.routes = append(d.routes, []any{strings.Trim(prefix, "/"), host, prefix, kind, timeoutMillis, timeoutMillis / 4, 2, nil, 2, false, false, []string{}, service})
}

// write stores an object.
func (d *deployment) write(kind, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return d.store.Write(context.Background(), kind, name, data)
}

// declare writes the first desired state.
func (d *deployment) declare() error {
	return d.declareKeys("00000001", key)
}

// declareKeys writes a desired state in which the tenant has one key.
func (d *deployment) declareKeys(version, secret string) error {
	return d.write("config", "main", map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", columnPrefix, "type", "timeout_ms", "target_latency_ms", "priority",
				"backends", "max_attempts", "public", "sticky", columnHomes, "service"},
			"rows": d.routes,
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_conns", "warmup_s", "warmup_per_s"},
			"rows":    d.services,
		},
		"tenants": map[string]any{
			"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst", columnHomes},
			"rows":    [][]any{{team, []string{secret}, nil, 0, 0, []string{}}},
		},
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    1048576,
			"header_timeout_ms": 5000,
			"idle_timeout_ms":   60000,
		},
	})
}

// register registers a server.
func (d *deployment) register(id, service, address string, slots int) error {
	return d.write("servers", id, standin.Registration{
		Service: service,
		Address: address,
		Zone:    zone,
		Version: "v1",
		Slots:   slots,
		State:   "ready",
		Seq:     1,
		Born:    time.Now().UnixMilli(),
	})
}

// settingsPath returns the path of the instance's settings file.
func settingsPath(folder string) string {
	return filepath.Join(folder, "local.toml")
}

// start starts the instance and waits until it is ready.
func (d *deployment) start(folder, storeAddress, moreSettings string) error {
	addresses := make([]any, 0, 6)
	for range 5 {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	d.address, d.ready = addresses[0].(string), addresses[1].(string)
	path := settingsPath(folder)
	text := fmt.Sprintf(settingsText, append(addresses, storeAddress)...)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	logFile, err := os.Create(filepath.Join(folder, "instance.log"))
	if err != nil {
		return err
	}
	d.command = exec.Command(program, argument)
	d.command.Env = append(os.Environ(), "HEMLOCKPORT_NODE_FILE="+path, "HEMLOCKPORT_SETTINGS="+moreSettings)
	d.command.Stdout, d.command.Stderr = logFile, logFile
	if err := d.command.Start(); err != nil {
		return err
	}
	d.exited = make(chan error, 1)
	go func() { d.exited <- d.command.Wait() }()
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		answer, err := http.Get("http://" + d.ready + "/hemlockport/readiness")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the instance is not ready after 10 s")
}

// stop ends the instance.
func (d *deployment) stop() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	_ = d.command.Process.Signal(syscall.SIGKILL)
	<-d.exited
}
