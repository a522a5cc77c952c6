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

// TestHangupNeverEndsAnInstance sends SIGHUP to an instance that serves and to one that
// leaves. It must end by the SIGTERM alone, properly.
func TestHangupNeverEndsAnInstance(t *testing.T) {
	t.Parallel()
	g := newStage(t, 1)
	folder := t.TempDir()
	binary := filepath.Join(folder, "fescuebankd")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	ready := freeAddr(t)
	settings := fmt.Sprintf("[instance]\nid = entry-a\nregion = r\nzone = z\n[listen]\npeers = %s\ncallers = %s\naddresses = %s\nready = %s\n"+
		"[platform]\nkind = objects\nurl = %s\n[roles]\nentry = true\nowner = false\nconsole = false\n[timing]\ngrace = 4s\n",
		freeAddr(t), freeAddr(t), freeAddr(t), ready, g.url)
	path := filepath.Join(folder, "settings.ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, "serve", "--settings", path)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // One that has ended needs none.
	g.eventually("ready instance", 20*time.Second, func() bool {
		resp, err := http.Get("http://" + ready + "/api/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatalf("got %v at %v, want a process that runs", err, s)
		}
		time.Sleep(300 * time.Millisecond)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("got %v, want a proper end", err)
	}
}
