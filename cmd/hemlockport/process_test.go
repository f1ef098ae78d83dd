package main_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

const (
	operatorKey = "the-operators-key"
	callerKey   = "the-callers-key"
	leakedKey   = "the-leaked-key"
	// patience bounds each wait of this test.
	patience = 20 * time.Second
)

// deployment is a platform, two upstreams and two instances, each a process.
type deployment struct {
	t      *testing.T
	folder string
	// callers and operators hold the addresses of the instances.
	callers   []string
	operators []string
	instances []*exec.Cmd
	upstreams []string
}

func build(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	command := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "./cmd/...")
	command.Dir = filepath.Join("..", "..")
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return folder
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func (d *deployment) start(program string, arguments ...string) *exec.Cmd {
	d.t.Helper()
	command := exec.Command(filepath.Join(d.folder, program), arguments...)
	command.Stderr = io.Discard
	if err := command.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

func deploy(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{
		t:      t,
		folder: build(t),
	}
	platform := freeAddress(t)
	for range 2 {
		d.upstreams = append(d.upstreams, freeAddress(t))
		d.callers = append(d.callers, freeAddress(t))
		d.operators = append(d.operators, freeAddress(t))
	}
	d.start("standin", "platform", "--listen", platform, "--instances", strings.Join(d.operators, ","))
	for i, address := range d.upstreams {
		d.start("standin", "upstream", "--listen", address, "--name", fmt.Sprintf("u%d", i))
	}
	for i := range 2 {
		settings := filepath.Join(d.folder, fmt.Sprintf("instance-%d.toml", i))
		d.write(settings, fmt.Sprintf(`Name = "instance-%d"
Place = "derby"
[Callers]
Listen = %q
[Peers]
Listen = %q
Secret = "0123456789abcdef"
[Operators]
Listen = %q
KeyHash = %q
[Platform]
Address = "http://%s"
[Drain]
GraceMillis = 3000
`, i, d.callers[i], freeAddress(t), d.operators[i], declarer.HashKey(operatorKey), platform))
		d.instances = append(d.instances, d.start("hemlockport", "serve", "--settings", settings))
	}
	return d
}

func (d *deployment) write(name, text string) {
	d.t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// run runs the command line and returns what it printed and its exit code.
func (d *deployment) run(arguments ...string) (out, problems string, code int) {
	d.t.Helper()
	command := exec.Command(filepath.Join(d.folder, "hemlockport"), arguments...)
	command.Env = append(os.Environ(), "HEMLOCKPORT_OPERATOR_KEY="+operatorKey, "HEMLOCKPORT_AT="+d.operators[0])
	var stdout, stderr bytes.Buffer
	command.Stdout = &stdout
	command.Stderr = &stderr
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		d.t.Fatal(err)
	}
	return stdout.String(), stderr.String(), command.ProcessState.ExitCode()
}

func (d *deployment) await(what string, condition func() bool) {
	d.t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			d.t.Fatalf("%s: not within %s", what, patience)
		}
		<-ticker.C
	}
}

// order sends an order to an instance and returns the status, or 0 if the
// connection broke.
func (d *deployment) order(instance int, path string) int {
	return d.orderWith(callerKey, instance, path)
}

func (d *deployment) orderWith(key string, instance int, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers[instance]+path, strings.NewReader("quilt"))
	if err != nil {
		d.t.Error(err)
		return 0
	}
	request.Host = "shopfront"
	request.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func (d *deployment) objects() string {
	return fmt.Sprintf(`[[Place]]
Name = "derby"
Region = "east"
Seats = 2
[[Service]]
Name = "shopfront"
Version = "v1"
TimeoutMillis = 20000
[[Version]]
Name = "v1"
Service = "shopfront"
Upstreams = [
  { Name = "u0", Place = "derby", Address = %q, Slots = 4 },
  { Name = "u1", Place = "derby", Address = %q, Slots = 4 },
]
[[Team]]
Name = "quilters"
RatePerSecond = 1000
Burst = 100
[[Key]]
Name = "quilters-1"
Team = "quilters"
Hash = %q
[[Key]]
Name = "quilters-2"
Team = "quilters"
Hash = %q
`, d.upstreams[0], d.upstreams[1], declarer.HashKey(callerKey), declarer.HashKey(leakedKey))
}

func (d *deployment) fault(json string) {
	d.t.Helper()
	for _, upstream := range d.upstreams {
		request, err := http.NewRequest(http.MethodPut, "http://"+upstream+"/.standin/faults", strings.NewReader(json))
		if err != nil {
			d.t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			d.t.Fatal(err)
		}
		response.Body.Close()
	}
}

// TestProcesses runs the whole path as separate processes: command line, order,
// graceful stop while an order runs, and a stop that a second signal cuts short.
func TestProcesses(t *testing.T) {
	d := deploy(t)
	file := filepath.Join(d.folder, "objects.toml")
	d.write(file, d.objects())
	d.await("accepted", func() bool {
		_, _, code := d.run("apply", file)
		return code == 0
	})
	for instance := range d.instances {
		d.await("an order", func() bool { return d.order(instance, "/orders/1") == http.StatusOK })
	}
	d.commandLine(file)
	d.pause()
	d.gracefulStop()
	d.secondSignal()
}

func (d *deployment) commandLine(file string) {
	bad := filepath.Join(d.folder, "bad.toml")
	d.write(bad, "[[Team]]\nName = \"idle\"\n")
	unknown := filepath.Join(d.folder, "unknown.toml")
	d.write(unknown, "[[Team]]\nName = \"idle\"\nColour = \"red\"\n")
	cases := []struct {
		arguments []string
		code      int
		out       string
		problems  string
	}{
		{
			arguments: []string{"apply", file},
			out:       "unchanged: revision 1",
		},
		{
			arguments: []string{"check", file},
			out:       "fits: 6 objects",
		},
		{
			arguments: []string{"apply", bad},
			code:      1,
			out:       `Team idle: RatePerSecond = "0"`,
			problems:  "refused: 2 faults; nothing has changed",
		},
		{
			arguments: []string{"apply", unknown},
			code:      1,
			problems:  "unknown fields: Team.Colour",
		},
		{
			arguments: []string{"get", "Team", "quilters", "--output", "json"},
			out:       `"RatePerSecond": 1000`,
		},
		{
			arguments: []string{"get", "Team", "nobody"},
			code:      1,
			problems:  "no Team nobody in revision 1",
		},
		{
			arguments: []string{"get", "Teapot"},
			code:      2,
			problems:  `kind "Teapot"`,
		},
		{
			arguments: []string{"lookup", "shopfront", "--at", d.callers[1]},
			out:       d.callers[0],
		},
		{
			arguments: []string{"lookup", "stall", "--at", d.callers[1]},
			code:      1,
			problems:  "UnknownService",
		},
		{
			arguments: []string{"timeline", "--object", "Revision 1"},
			out:       "ConfigInForce",
		},
		{
			arguments: []string{"status"},
			out:       "instance-1",
		},
		{
			arguments: []string{"status", "--key", "guess"},
			code:      1,
			problems:  "show the operators' key",
		},
		{
			arguments: []string{"serve"},
			code:      2,
			problems:  "--settings FILE is missing",
		},
		{
			arguments: []string{"serve", "--settings", bad},
			code:      1,
			out:       `Settings: Place = ""`,
			problems:  "refused",
		},
		{
			arguments: []string{"serve", "--print-settings"},
			out:       "GraceMillis = 1000",
		},
		{
			arguments: []string{"dance"},
			code:      2,
			problems:  "unexpected argument dance",
		},
		{
			arguments: []string{"version"},
			out:       "hemlockport ",
		},
		{
			arguments: []string{"key", "web", "--team", "quilters"},
			out:       `Hash = "sha256:`,
		},
	}
	for _, c := range cases {
		out, problems, code := d.run(c.arguments...)
		if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(problems, c.problems) {
			d.t.Errorf("%v: code %d, out %q, problems %q", c.arguments, code, out, problems)
		}
		if lines := strings.Count(problems, "\n"); lines > 1 || (code == 0) != (lines == 0) {
			d.t.Errorf("%v: problems of %d lines: %q", c.arguments, lines, problems)
		}
	}
}

// withdrawalLimit is how soon a withdrawn key stops working where it can be known.
const withdrawalLimit = 2 * time.Second

// pause stops an instance's process for longer than its links last, and withdraws a
// key meanwhile. The key does not work there for long once the process goes on.
func (d *deployment) pause() {
	if status := d.orderWith(leakedKey, 1, "/orders/4"); status != http.StatusOK {
		d.t.Errorf("status %d before the withdrawal", status)
	}
	if err := d.instances[1].Process.Signal(syscall.SIGSTOP); err != nil {
		d.t.Fatal(err)
	}
	if out, problems, code := d.run("withdraw", "quilters-2"); code != 0 {
		d.t.Errorf("withdraw: %s %s", out, problems)
	}
	d.await("the look-up leaves the paused instance out", func() bool {
		out, _, _ := d.run("lookup", "shopfront", "--at", d.callers[0])
		return !strings.Contains(out, d.callers[1])
	})
	if err := d.instances[1].Process.Signal(syscall.SIGCONT); err != nil {
		d.t.Fatal(err)
	}
	resumed := time.Now()
	d.await("the withdrawn key is refused", func() bool {
		return d.orderWith(leakedKey, 1, "/orders/5") == http.StatusUnauthorized
	})
	if taken := time.Since(resumed); taken > withdrawalLimit {
		d.t.Errorf("the withdrawn key worked for %s after the pause", taken)
	}
	d.await("the paused instance is back", func() bool {
		out, _, _ := d.run("lookup", "shopfront", "--at", d.callers[0])
		return strings.Contains(out, d.callers[1])
	})
}

// gracefulStop stops an instance while an order runs there. The order ends well
// and the process ends with 0.
func (d *deployment) gracefulStop() {
	d.fault(`{"SlowMillis":1500}`)
	var group errgroup.Group
	status := 0
	group.Go(func() error {
		status = d.order(0, "/orders/2")
		return nil
	})
	d.await("the order runs", func() bool { return d.inFlight(0) })
	if err := d.instances[0].Process.Signal(syscall.SIGTERM); err != nil {
		d.t.Fatal(err)
	}
	d.await("callers are told to go", func() bool { return d.toldToGo(0) })
	_ = group.Wait()
	if status != http.StatusOK {
		d.t.Errorf("the order that ran ended with status %d", status)
	}
	if err := d.instances[0].Wait(); err != nil {
		d.t.Errorf("the instance ended with %v", err)
	}
	d.fault(`{}`)
	out, _, _ := d.run("lookup", "shopfront", "--at", d.callers[1])
	if strings.Contains(out, d.callers[0]) || !strings.Contains(out, d.callers[1]) {
		d.t.Errorf("look-up after the stop: %q", out)
	}
	out, _, _ = d.run("timeline", "--at", d.operators[1], "--process", "instance-0")
	if !strings.Contains(out, "DrainEnded") {
		d.t.Errorf("the time line lacks the events of the stopped instance: %q", out)
	}
}

// toldToGo says whether an instance answers and closes the connection.
func (d *deployment) toldToGo(instance int) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+d.callers[instance]+"/.hemlockport/lookup?service=shopfront", nil)
	if err != nil {
		d.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK && response.Close
}

func (d *deployment) inFlight(instance int) bool {
	out, _, _ := d.run("status", "--at", d.operators[instance], "--output", "json")
	return strings.Contains(out, `"InFlight": 1`)
}

// secondSignal stops an instance while an order hangs there, and does not wait
// for it.
func (d *deployment) secondSignal() {
	d.fault(`{"Silent":true}`)
	var group errgroup.Group
	group.Go(func() error {
		d.order(1, "/orders/3")
		return nil
	})
	d.await("the order runs", func() bool { return d.inFlight(1) })
	begun := time.Now()
	for range 2 {
		if err := d.instances[1].Process.Signal(syscall.SIGTERM); err != nil {
			d.t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	err := d.instances[1].Wait()
	if taken := time.Since(begun); err == nil || taken > 10*time.Second {
		d.t.Errorf("ended with %v after %s", err, taken)
	}
	_ = group.Wait()
}
