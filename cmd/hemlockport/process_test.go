package main_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/reserver"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

const (
	operatorKey  = "the-operators-key"
	callerKey    = "the-callers-key"
	withdrawnKey = "the-leaked-key"
	// waitLimit is the timeout of each wait of this test.
	waitLimit = 20 * time.Second
)

// deployment is a fake platform, two fake upstreams and two entry instances, each of
// which is a process.
type deployment struct {
	t   *testing.T
	dir string
	// callerAddresses and operatorAddresses hold the listeners of each instance for
	// callers and for operators.
	callerAddresses   []string
	operatorAddresses []string
	instances         []*exec.Cmd
	upstreamAddresses []string
}

// build builds all programs and returns the directory that holds them.
func build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	command := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	command.Dir = filepath.Join("..", "..")
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return dir
}

// start starts a program that the test ends when it is done.
func (d *deployment) start(program string, arguments ...string) *exec.Cmd {
	d.t.Helper()
	command := exec.Command(filepath.Join(d.dir, program), arguments...)
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

// startDeployment starts the fake platform, the fake upstreams and the instances.
func startDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{
		t:   t,
		dir: build(t),
	}
	platformAddress := reserver.Address(t)
	for range 2 {
		d.upstreamAddresses = append(d.upstreamAddresses, reserver.Address(t))
		d.callerAddresses = append(d.callerAddresses, reserver.Address(t))
		d.operatorAddresses = append(d.operatorAddresses, reserver.Address(t))
	}
	d.start("standin", "platform", "--listen", platformAddress, "--instances", strings.Join(d.operatorAddresses, ","))
	for i, address := range d.upstreamAddresses {
		d.start("standin", "upstream", "--listen", address, "--name", fmt.Sprintf("u%d", i))
	}
	for i := range 2 {
		settings := filepath.Join(d.dir, fmt.Sprintf("instance-%d.toml", i))
		d.writeFile(settings, fmt.Sprintf(`Name = "instance-%d"
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
`, i, d.callerAddresses[i], reserver.Address(t), d.operatorAddresses[i], declarer.HashKey(operatorKey), platformAddress))
		d.instances = append(d.instances, d.start("hemlockport", "serve", "--settings", settings))
	}
	return d
}

func (d *deployment) writeFile(name, text string) {
	d.t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// run runs hemlockport with the given arguments and returns its output and exit code.
func (d *deployment) run(arguments ...string) (stdout, stderr string, code int) {
	d.t.Helper()
	command := exec.Command(filepath.Join(d.dir, "hemlockport"), arguments...)
	command.Env = append(os.Environ(), "HEMLOCKPORT_OPERATOR_KEY="+operatorKey, "HEMLOCKPORT_AT="+d.operatorAddresses[0])
	var stdoutBuffer, stderrBuffer bytes.Buffer
	command.Stdout = &stdoutBuffer
	command.Stderr = &stderrBuffer
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		d.t.Fatal(err)
	}
	return stdoutBuffer.String(), stderrBuffer.String(), command.ProcessState.ExitCode()
}

// await fails the test unless the condition holds within waitLimit.
func (d *deployment) await(description string, condition func() bool) {
	d.t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			d.t.Fatalf("waiting for %s: timed out after %s", description, waitLimit)
		}
		<-ticker.C
	}
}

// sendOrder sends an order to an instance and returns the status, or 0 if the connection
// broke.
func (d *deployment) sendOrder(instance int, path string) int {
	return d.sendOrderWithKey(callerKey, instance, path)
}

func (d *deployment) sendOrderWithKey(key string, instance int, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callerAddresses[instance]+path, strings.NewReader("quilt"))
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

// objects returns the declaration of the deployment.
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
`, d.upstreamAddresses[0], d.upstreamAddresses[1], declarer.HashKey(callerKey), declarer.HashKey(withdrawnKey))
}

// setFaults replaces the faults of all upstreams, given as JSON.
func (d *deployment) setFaults(faults string) {
	d.t.Helper()
	for _, upstream := range d.upstreamAddresses {
		request, err := http.NewRequest(http.MethodPut, "http://"+upstream+"/.standin/faults", strings.NewReader(faults))
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

// TestProcesses runs a whole deployment as separate processes. It checks the command
// line, the withdrawal of a key while an instance is paused, a graceful stop while an
// order runs, in which the signal is repeated, and a stop that an interrupt cuts short.
func TestProcesses(t *testing.T) {
	d := startDeployment(t)
	file := filepath.Join(d.dir, "objects.toml")
	d.writeFile(file, d.objects())
	d.await("the objects to be accepted", func() bool {
		_, _, code := d.run("apply", file)
		return code == 0
	})
	for instance := range d.instances {
		d.await("an order to succeed", func() bool { return d.sendOrder(instance, "/orders/1") == http.StatusOK })
	}
	d.checkCommandLine(file)
	d.checkWithdrawalDuringPause()
	d.checkGracefulStop()
	d.checkInterruptedStop()
}

func (d *deployment) checkCommandLine(file string) {
	bad := filepath.Join(d.dir, "bad.toml")
	d.writeFile(bad, "[[Team]]\nName = \"idle\"\n")
	unknown := filepath.Join(d.dir, "unknown.toml")
	d.writeFile(unknown, "[[Team]]\nName = \"idle\"\nColour = \"red\"\n")
	cases := []struct {
		arguments []string
		code      int
		stdout    string
		stderr    string
	}{
		{
			arguments: []string{"apply", file},
			stdout:    "unchanged: revision 1",
		},
		{
			arguments: []string{"check", file},
			stdout:    "fits: 6 objects",
		},
		{
			arguments: []string{"apply", bad},
			code:      1,
			stdout:    `Team idle: RatePerSecond = "0"`,
			stderr:    "refused: 2 faults; nothing has changed",
		},
		{
			arguments: []string{"apply", unknown},
			code:      1,
			stderr:    "unknown fields: Team.Colour",
		},
		{
			arguments: []string{"get", "Team", "quilters", "--output", "json"},
			stdout:    `"RatePerSecond": 1000`,
		},
		{
			arguments: []string{"get", "Team", "nobody"},
			code:      1,
			stderr:    "no Team nobody in revision 1",
		},
		{
			arguments: []string{"get", "Teapot"},
			code:      2,
			stderr:    `kind "Teapot"`,
		},
		{
			arguments: []string{"lookup", "shopfront", "--at", d.callerAddresses[1]},
			stdout:    d.callerAddresses[0],
		},
		{
			arguments: []string{"lookup", "stall", "--at", d.callerAddresses[1]},
			code:      1,
			stderr:    "UnknownService",
		},
		{
			arguments: []string{"timeline", "--object", "Revision 1"},
			stdout:    "ConfigInForce",
		},
		{
			arguments: []string{"status"},
			stdout:    "instance-1",
		},
		{
			arguments: []string{"status", "--key", "guess"},
			code:      1,
			stderr:    "show the operators' key",
		},
		{
			arguments: []string{"serve"},
			code:      2,
			stderr:    "--settings FILE is missing",
		},
		{
			arguments: []string{"serve", "--settings", bad},
			code:      1,
			stdout:    `Settings: Place = ""`,
			stderr:    "refused",
		},
		{
			arguments: []string{"serve", "--print-settings"},
			stdout:    "GraceMillis = 1000",
		},
		{
			// What bounds the process is shown with where it comes from.
			arguments: []string{"serve", "--print-settings"},
			stdout:    "MemorySource = '",
		},
		{
			arguments: []string{"dance"},
			code:      2,
			stderr:    "unexpected argument dance",
		},
		{
			arguments: []string{"version"},
			stdout:    "hemlockport ",
		},
		{
			arguments: []string{"key", "web", "--team", "quilters"},
			stdout:    `Hash = "sha256:`,
		},
	}
	for _, c := range cases {
		stdout, stderr, code := d.run(c.arguments...)
		if code != c.code || !strings.Contains(stdout, c.stdout) || !strings.Contains(stderr, c.stderr) {
			d.t.Errorf("%v: got code %d, stdout %q, stderr %q; want code %d, stdout with %q, stderr with %q",
				c.arguments, code, stdout, stderr, c.code, c.stdout, c.stderr)
		}
		if lines := strings.Count(stderr, "\n"); lines > 1 || (code == 0) != (lines == 0) {
			d.t.Errorf("%v: got %d lines on stderr, want one if the command fails and none otherwise: %q", c.arguments, lines, stderr)
		}
	}
}

// withdrawalLimit is the time in which a withdrawn key must stop working at an instance
// that can learn of the withdrawal.
const withdrawalLimit = 2 * time.Second

// checkWithdrawalDuringPause pauses an instance's process for longer than its links
// survive, and withdraws a key meanwhile. Once the process resumes, the instance must
// refuse the key within withdrawalLimit.
func (d *deployment) checkWithdrawalDuringPause() {
	if status := d.sendOrderWithKey(withdrawnKey, 1, "/orders/4"); status != http.StatusOK {
		d.t.Errorf("order at instance 1 with the key quilters-2, before its withdrawal: got status %d, want 200", status)
	}
	if err := d.instances[1].Process.Signal(syscall.SIGSTOP); err != nil {
		d.t.Fatal(err)
	}
	if stdout, stderr, code := d.run("withdraw", "quilters-2"); code != 0 {
		d.t.Errorf("withdraw quilters-2: got code %d, stdout %q, stderr %q, want code 0", code, stdout, stderr)
	}
	d.await("the lookup to omit the paused instance", func() bool {
		out, _, _ := d.run("lookup", "shopfront", "--at", d.callerAddresses[0])
		return !strings.Contains(out, d.callerAddresses[1])
	})
	if err := d.instances[1].Process.Signal(syscall.SIGCONT); err != nil {
		d.t.Fatal(err)
	}
	resumed := time.Now()
	d.await("the withdrawn key to be refused", func() bool {
		return d.sendOrderWithKey(withdrawnKey, 1, "/orders/5") == http.StatusUnauthorized
	})
	if taken := time.Since(resumed); taken > withdrawalLimit {
		d.t.Errorf("the withdrawn key worked for %s after the pause, want at most %s", taken, withdrawalLimit)
	}
	d.await("the lookup to return the resumed instance", func() bool {
		out, _, _ := d.run("lookup", "shopfront", "--at", d.callerAddresses[0])
		return strings.Contains(out, d.callerAddresses[1])
	})
}

// checkGracefulStop stops an instance while an order runs there, and repeats the signal. The
// order must succeed and the process must end with exit code 0.
func (d *deployment) checkGracefulStop() {
	d.setFaults(`{"SlowMillis":1500}`)
	var group errgroup.Group
	status := 0
	group.Go(func() error {
		status = d.sendOrder(0, "/orders/2")
		return nil
	})
	d.await("the order to run", func() bool { return d.inFlight(0) })
	for range 3 {
		if err := d.instances[0].Process.Signal(syscall.SIGTERM); err != nil {
			d.t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.await("the instance to announce that it closes connections", func() bool { return d.announcesClose(0) })
	_ = group.Wait()
	if status != http.StatusOK {
		d.t.Errorf("the order that ran during the stop: got status %d, want 200", status)
	}
	if err := d.instances[0].Wait(); err != nil {
		d.t.Errorf("instance 0 after SIGTERM: got error %v, want exit code 0", err)
	}
	d.setFaults(`{}`)
	out, _, _ := d.run("lookup", "shopfront", "--at", d.callerAddresses[1])
	if strings.Contains(out, d.callerAddresses[0]) || !strings.Contains(out, d.callerAddresses[1]) {
		d.t.Errorf("lookup after the stop: got %q, want only the instance that runs", out)
	}
	out, _, _ = d.run("timeline", "--at", d.operatorAddresses[1], "--process", "instance-0")
	if !strings.Contains(out, "DrainEnded") {
		d.t.Errorf("timeline: got %q, want the event DrainEnded of the stopped instance", out)
	}
}

// announcesClose reports whether an instance answers with status 200 and announces that
// it closes the connection.
func (d *deployment) announcesClose(instance int) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+d.callerAddresses[instance]+"/.hemlockport/lookup?service=shopfront", nil)
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

// inFlight reports whether exactly one request is in flight at an instance.
func (d *deployment) inFlight(instance int) bool {
	out, _, _ := d.run("status", "--at", d.operatorAddresses[instance], "--output", "json")
	return strings.Contains(out, `"InFlight": 1`)
}

// checkInterruptedStop stops an instance while an order hangs there. After an interrupt the
// instance must end with an error instead of waiting for the order.
func (d *deployment) checkInterruptedStop() {
	d.setFaults(`{"Silent":true}`)
	var group errgroup.Group
	group.Go(func() error {
		d.sendOrder(1, "/orders/3")
		return nil
	})
	d.await("the order to run", func() bool { return d.inFlight(1) })
	begun := time.Now()
	for _, signal := range []os.Signal{syscall.SIGTERM, os.Interrupt} {
		if err := d.instances[1].Process.Signal(signal); err != nil {
			d.t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	err := d.instances[1].Wait()
	if taken := time.Since(begun); err == nil || taken > 10*time.Second {
		d.t.Errorf("instance 1 after SIGTERM and an interrupt: got error %v after %s, want an error within 10s", err, taken)
	}
	_ = group.Wait()
}
