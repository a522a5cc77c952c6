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

// sleeper makes TestSleeper, run as a program of its own, last for a minute.
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
		_, _ = l.Wait(time.Second) // It was killed.
	})
	return l
}

func TestProcessThatEndsByItselfIsFoundOut(t *testing.T) {
	l := start(t)
	if ended, err := l.Wait(10 * time.Second); !ended || err != nil {
		t.Fatalf("got ended %v, %v, want a proper end", ended, err)
	}
	if !l.ExitedUnexpectedly() {
		t.Error("got no end by itself, want one")
	}
}

func TestProcessThatIsKilledHasNotEndedByItself(t *testing.T) {
	l := start(t, sleeper)
	if ended, _ := l.Wait(100 * time.Millisecond); ended {
		t.Fatal("got an end before the signal, want none")
	}
	l.Signal(syscall.SIGKILL)
	if ended, err := l.Wait(10 * time.Second); !ended || err != nil {
		t.Errorf("got ended %v, %v, want an end without an error", ended, err)
	}
	if l.ExitedUnexpectedly() {
		t.Error("got an end by itself, want none")
	}
	if err := l.Start(); err != nil {
		t.Errorf("got %v at the next start, want none", err)
	}
}
