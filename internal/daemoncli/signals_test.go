package daemoncli

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/tools/txtar"

	"github.com/agatestep/agatestep/internal/daemon"
	"github.com/agatestep/agatestep/internal/settings"
)

// Environment variables that make the test binary run as a daemon: one with a process that
// does nothing, or the run command with a settings file.
const (
	envIdleProcess = "AGATESTEP_TEST_IDLE_PROCESS"
	envRunSettings = "AGATESTEP_TEST_RUN_SETTINGS"
)

func TestMain(m *testing.M) {
	switch {
	case os.Getenv(envIdleProcess) != "":
		os.Exit(runIdleProcess(os.Getenv(envIdleProcess)))
	case os.Getenv(envRunSettings) != "":
		os.Exit(Run([]string{"run", "--settings", os.Getenv(envRunSettings)}, struct{ daemon.Adapter }{}))
	}
	os.Exit(m.Run())
}

// idleProcess prints its states and takes until the end of its input to stop.
type idleProcess struct{}

func (idleProcess) Run(ctx, _ context.Context) error {
	fmt.Println("started")
	<-ctx.Done()
	fmt.Println("stopping")
	_, err := io.ReadAll(os.Stdin)
	fmt.Println("stopped")
	return err
}

func (idleProcess) Reload(*settings.Settings) { fmt.Println("reloaded") }

func runIdleProcess(path string) int {
	if err := serve(idleProcess{}, receiveSignals(), settingsFile{path: path}, zap.NewNop()); err != nil {
		return 1
	}
	return 0
}

// childTimeout bounds the time of a child, so that a state that it does not reach fails the
// test.
const childTimeout = 30 * time.Second

// child is the test binary, run as a daemon.
type child struct {
	*exec.Cmd
	is     *is.I
	stdin  io.WriteCloser
	output *bufio.Scanner
}

func startChild(t *testing.T, env string) *child {
	c := &child{Cmd: exec.Command(os.Args[0]), is: is.New(t)}
	c.Env = append(os.Environ(), env)
	var err error
	c.stdin, err = c.StdinPipe()
	c.is.NoErr(err)
	output, err := c.StdoutPipe()
	c.is.NoErr(err)
	c.output = bufio.NewScanner(output)
	c.is.NoErr(c.Start())
	timeout := time.AfterFunc(childTimeout, func() { _ = c.Process.Kill() })
	t.Cleanup(func() {
		timeout.Stop()
		_ = c.Process.Kill()
	})
	return c
}

// await reads the output up to a line.
func (c *child) await(line string) {
	for c.output.Scan() {
		if c.output.Text() == line {
			return
		}
	}
	c.is.Fail() // ended before that line
}

func writeSettings(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.New(t).NoErr(os.WriteFile(path, []byte(content), 0o600))
	return path
}

// Guards against a hangup signal that ends the process while requests in flight are still
// answered.
func TestHangupDuringGracefulStopDoesNotEndProcess(t *testing.T) {
	c := startChild(t, envIdleProcess+"="+writeSettings(t, ""))
	c.await("started")
	c.is.NoErr(c.Process.Signal(syscall.SIGTERM))
	c.await("stopping")
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		_ = c.Process.Signal(syscall.SIGHUP) // fails once the process has ended
	}
	c.is.NoErr(c.stdin.Close())
	c.await("stopped")
	c.is.NoErr(c.Wait())
}

// Guards against a settings file that changes between its first reading and the start of
// the process, and whose change is never applied.
func TestChangeDuringStartIsApplied(t *testing.T) {
	archive, err := txtar.ParseFile("../settings/testdata/parse/valid.txtar")
	is.New(t).NoErr(err)
	path := writeSettings(t, string(archive.Files[0].Data))
	c := startChild(t, envIdleProcess+"="+path) // has read an empty file
	c.await("reloaded")
	c.is.NoErr(c.Process.Signal(syscall.SIGTERM))
	c.is.NoErr(c.stdin.Close())
	c.await("stopped")
	c.is.NoErr(c.Wait())
}

// openWhenRead opens a named pipe for writing once another process reads from it.
func openWhenRead(t *testing.T, path string) *os.File {
	for began := time.Now(); time.Since(began) < childTimeout; time.Sleep(time.Millisecond) {
		if f, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil {
			return f
		}
	}
	t.Fatal("nobody reads the named pipe")
	return nil
}

// Guards against a hangup signal that ends a process which is still starting.
func TestHangupDuringStartDoesNotEndProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.New(t).NoErr(syscall.Mkfifo(path, 0o600))
	c := startChild(t, envRunSettings+"="+path)
	writer := openWhenRead(t, path)
	c.is.NoErr(c.Process.Signal(syscall.SIGHUP))
	_, err := writer.WriteString("no settings")
	c.is.NoErr(err)
	c.is.NoErr(writer.Close())
	c.is.True(c.Wait() != nil)
	c.is.Equal(c.ProcessState.ExitCode(), 1) // refuses the settings
}
