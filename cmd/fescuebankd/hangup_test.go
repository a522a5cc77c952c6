package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
	ready := freeAddr(t)
	settings := fmt.Sprintf("[instance]\nid = entry-a\nregion = r\nzone = z\n[listen]\npeers = %s\ncallers = %s\naddresses = %s\nready = %s\n"+
		"[platform]\nkind = objects\nurl = %s\n[roles]\nentry = true\nowner = false\nconsole = false\n[timing]\ngrace = 4s\n",
		freeAddr(t), freeAddr(t), freeAddr(t), ready, d.url)
	path := filepath.Join(folder, "settings.ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, "serve", "--settings", path)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // Fails harmlessly if the process has exited.
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
