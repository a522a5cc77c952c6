package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"
)

// TestHangupDoesNotTerminateInstance sends SIGHUP to an instance while it serves
// and while it shuts down. Without a handler SIGHUP terminates a process; only
// SIGTERM may end the instance, with exit code 0.
func TestHangupDoesNotTerminateInstance(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	folder := t.TempDir()
	binary := filepath.Join(folder, "fescuebankd")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	settings := fmt.Sprintf("[instance]\nid = entry-a\nregion = r\nzone = z\n[listen]\npeers = %s\ncallers = %s\naddresses = %s\nready = %s\n"+
		"[platform]\nkind = objects\nurl = %s\n[roles]\nentry = true\nowner = false\nconsole = false\n[timing]\ngrace = 4s\n",
		anyAddr, anyAddr, anyAddr, anyAddr, d.url)
	path := filepath.Join(folder, "settings.ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, "serve", "--settings", path)
	output, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // Fails harmlessly if the process has exited.
	ready := readyAddr(t, output)
	d.eventually("ready instance", 20*time.Second, func() bool {
		resp, err := http.Get("http://" + ready + "/api/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatalf("signal %[2]v: got %[1]v, want a running process", err, s)
		}
		time.Sleep(300 * time.Millisecond)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("got %v, want exit code 0", err)
	}
}

// readyAddr returns the address of the readiness check from the log of an instance, and goes on
// reading the log.
func readyAddr(t *testing.T, log io.Reader) string {
	t.Helper()
	found := make(chan string, 1)
	go func() {
		pattern := regexp.MustCompile(`Instance started.*ready"?[:=]"?([0-9.]+:[0-9]+)`)
		lines := bufio.NewScanner(log)
		for lines.Scan() {
			if match := pattern.FindStringSubmatch(lines.Text()); match != nil {
				found <- match[1]
			}
		}
	}()
	select {
	case addr := <-found:
		return addr
	case <-time.After(20 * time.Second):
		t.Fatal("got no log line of the start within 20 s, want one")
		return ""
	}
}
