package main

import (
	"bytes"
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

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/replica"
	"github.com/dunlinpulley/dunlinpulley/platform/dialect"
	"github.com/dunlinpulley/dunlinpulley/platform/settings"
	"github.com/dunlinpulley/dunlinpulley/platform/wiring/routertest"
)

const (
	// waitTimeout limits each wait for a condition; a wait ends when the condition holds.
	waitTimeout = 60 * time.Second
	// signalInterval is the time between two signals of a series.
	signalInterval = 5 * time.Millisecond
	// callTimeout is the time limit of a call.
	callTimeout = 8 * time.Second
	// answerDelay is how long an endpoint takes for an answer that is in progress during a stop.
	answerDelay = 1500 * time.Millisecond
)

// program is the path of the router, which TestMain builds.
var program string

func TestMain(m *testing.M) { os.Exit(routertest.RunWithProgram(m, &program)) }

// router is a process of the router with stand-ins of the store and of one endpoint.
type router struct {
	t            *testing.T
	settingsPath string
	settings     []byte
	front, ready string
	endpoint     *replica.Replica
	cmd          *exec.Cmd
	output       *os.File
}

// newRouter starts the stand-ins and prepares a process, which is not started yet.
// Its settings are not written yet.
func newRouter(t *testing.T) *router {
	e := routertest.Start(t, routertest.Options{Slots: 8, MaxConnections: 50, HostLimits: map[string]any{"memory_mb": 128}})
	return &router{t: t, front: e.Front, ready: e.Ready, endpoint: e.Endpoint, settings: e.Settings, settingsPath: filepath.Join(t.TempDir(), "settings.json")}
}

// start starts the process with its output going to stdout, or to a file if that is nil. It is killed when the test ends.
func (r *router) start(stdout io.Writer) {
	r.t.Helper()
	output, err := os.Create(filepath.Join(r.t.TempDir(), "output"))
	assert.NilError(r.t, err)
	r.output = output
	r.cmd = exec.Command(program, "--settings", r.settingsPath)
	r.cmd.Stdout, r.cmd.Stderr = output, output
	if stdout != nil {
		r.cmd.Stdout = stdout
	}
	assert.NilError(r.t, r.cmd.Start())
	r.t.Cleanup(func() {
		_ = r.cmd.Process.Kill()
		if r.t.Failed() {
			data, _ := os.ReadFile(output.Name())
			r.t.Logf("output:\n%s", data)
		}
	})
}

// startReady starts the process and waits until it is ready.
func (r *router) startReady(stdout io.Writer) {
	r.t.Helper()
	assert.NilError(r.t, os.WriteFile(r.settingsPath, r.settings, 0o600))
	r.start(stdout)
	r.awaitReady()
}

func (r *router) awaitReady() {
	r.t.Helper()
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		response, err := http.Get("http://" + r.ready + settings.ReadyPath)
		if err != nil {
			return poll.Continue("%v", err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return poll.Continue("status %d", response.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

func (r *router) signal(s syscall.Signal) { assert.NilError(r.t, r.cmd.Process.Signal(s)) }

// awaitExit waits until the process has ended and checks that it ended by itself with status 0. In the
// meantime it sends the signals in turn.
func (r *router) awaitExit(signals ...syscall.Signal) {
	r.t.Helper()
	exited := make(chan error, 1)
	go func() { exited <- r.cmd.Wait() }()
	ticker := time.NewTicker(signalInterval)
	defer ticker.Stop()
	timeout := time.After(waitTimeout)
	for n := 0; ; n++ {
		select {
		case err := <-exited:
			assert.NilError(r.t, err)
			return
		case <-timeout:
			r.t.Fatalf("the process has not ended after %s", waitTimeout)
		case <-ticker.C:
			if len(signals) > 0 {
				// The process may have ended meanwhile.
				_ = r.cmd.Process.Signal(signals[n%len(signals)])
			}
		}
	}
}

// call sends a request that may run once only and returns its status.
func (r *router) call(id string) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.front+"/once/x", strings.NewReader("body"))
	if err != nil {
		return 0, err
	}
	request.Host = "app.example"
	for name, values := range (dialect.Dialect{}).CallerHeaders(id, "", callTimeout) {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, fmt.Errorf("step=read body: %w", err)
	}
	return response.StatusCode, nil
}

// Guards against a planned stop that cuts requests in progress because another signal
// arrives: all through the stop, the signals must leave the requests and the exit status alone.
func TestSignalsDuringStopCutNothing(t *testing.T) {
	for _, signals := range [][]syscall.Signal{{syscall.SIGHUP}, {syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}} {
		t.Run(fmt.Sprint(signals), func(t *testing.T) {
			t.Parallel()
			r := newRouter(t)
			r.startReady(nil)
			r.endpoint.SetResponseDelay(answerDelay)
			answered := make(chan string, 1)
			go func() {
				status, err := r.call("a1")
				answered <- fmt.Sprint(status, " ", err)
			}()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if len(r.endpoint.Executions()) == 0 {
					return poll.Continue("not running")
				}
				return poll.Success()
			}, poll.WithTimeout(waitTimeout))
			r.signal(syscall.SIGTERM)
			r.awaitExit(signals...)
			assert.Equal(t, <-answered, "200 <nil>")
		})
	}
}

// startReading starts the process with a named pipe as its settings file, and returns
// the pipe's other end when the process has begun to read it.
func (r *router) startReading() *os.File {
	r.t.Helper()
	assert.NilError(r.t, syscall.Mkfifo(r.settingsPath, 0o600))
	r.start(nil)
	pipe, err := os.OpenFile(r.settingsPath, os.O_WRONLY, 0)
	assert.NilError(r.t, err)
	return pipe
}

// Guards against a process that a changed settings file ends before its handlers
// stand: SIGHUP while the settings are read must not end it.
func TestSIGHUPWhileSettingsAreRead(t *testing.T) {
	r := newRouter(t)
	pipe := r.startReading()
	for range 20 {
		r.signal(syscall.SIGHUP)
		time.Sleep(signalInterval)
	}
	// The file changes with the signal; it is an ordinary one from now on.
	assert.NilError(t, os.Remove(r.settingsPath))
	assert.NilError(t, os.WriteFile(r.settingsPath, r.settings, 0o600))
	_, err := io.Copy(pipe, bytes.NewReader(r.settings))
	assert.NilError(t, err)
	assert.NilError(t, pipe.Close())
	r.awaitReady()
	r.signal(syscall.SIGTERM)
	r.awaitExit(syscall.SIGHUP)
}

// Guards against a stop during the start that counts as a crash: SIGTERM while the
// settings are read must end the process with status 0.
func TestSIGTERMWhileSettingsAreRead(t *testing.T) {
	r := newRouter(t)
	pipe := r.startReading()
	r.signal(syscall.SIGTERM)
	time.Sleep(signalInterval)
	_, err := io.Copy(pipe, bytes.NewReader(r.settings))
	assert.NilError(t, err)
	assert.NilError(t, pipe.Close())
	r.awaitExit()
}

// Guards against a router that ends because the reader of its log has ended: it must
// go on serving and stop with status 0.
func TestClosedLogReader(t *testing.T) {
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	r := newRouter(t)
	r.startReady(writer)
	assert.NilError(t, writer.Close())
	assert.NilError(t, reader.Close())
	for n := range 3 {
		status, err := r.call(fmt.Sprintf("a%d", n))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	r.signal(syscall.SIGTERM)
	r.awaitExit()
}
