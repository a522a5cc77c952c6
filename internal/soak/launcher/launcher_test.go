package launcher_test

import (
	"flag"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"fescuebank/internal/soak/launcher"
)

// sleeper is the argument that makes TestSleeper run for a minute. The tests launch it
// as a separate process.
const sleeper = "sleep"

func TestSleeper(*testing.T) {
	if flag.Arg(0) == sleeper {
		time.Sleep(time.Minute)
	}
}

func start(t *testing.T, args ...string) *launcher.Launcher {
	t.Helper()
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	l := launcher.New(path, append([]string{"-test.run=^TestSleeper$"}, args...), io.Discard)
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		l.Signal(syscall.SIGKILL)
		_, _ = l.Wait(time.Second) // Reaps the killed process.
	})
	return l
}

func TestUnexpectedExitIsDetected(t *testing.T) {
	l := start(t)
	if exited, err := l.Wait(10 * time.Second); !exited || err != nil {
		t.Fatalf("got exited %v, %v, want an exit without an error", exited, err)
	}
	if !l.ExitedUnexpectedly() {
		t.Error("got an exit that is not reported as unexpected, want it reported")
	}
}

func TestKilledProcessHasNotExitedUnexpectedly(t *testing.T) {
	l := start(t, sleeper)
	if exited, _ := l.Wait(100 * time.Millisecond); exited {
		t.Fatal("got an exit before the signal, want a running process")
	}
	l.Signal(syscall.SIGKILL)
	if exited, err := l.Wait(10 * time.Second); !exited || err != nil {
		t.Errorf("got exited %v, %v, want an exit without an error", exited, err)
	}
	if l.ExitedUnexpectedly() {
		t.Error("got the exit after SIGKILL reported as unexpected, want it not reported")
	}
	if err := l.Start(); err != nil {
		t.Errorf("got %v at the next start, want no error", err)
	}
}

// TestUnhandledTerminationIsAnError guards against a program that loses its handler of SIGTERM. Only
// right after its start it needn't have one yet.
func TestUnhandledTerminationIsAnError(t *testing.T) {
	for _, tt := range []struct {
		name  string
		after time.Duration
		fails bool
	}{
		{"right after the start", 0, false},
		{"later", 1100 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			l := start(t, sleeper)
			time.Sleep(tt.after)
			l.Signal(syscall.SIGTERM)
			if exited, err := l.Wait(10 * time.Second); !exited || (err != nil) != tt.fails {
				t.Errorf("got exited %v, %v, want an exit, with an error %v", exited, err, tt.fails)
			}
		})
	}
}
