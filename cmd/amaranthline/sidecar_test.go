package main_test

import (
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// startSidecar builds the program and starts a sidecar without a store. It returns once the sidecar answers readiness
// checks; the process ends with the test.
func startSidecar(t *testing.T) *exec.Cmd {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "amaranthline")
	if out, err := exec.Command("go", "build", "-o", binary, "amaranthline/cmd/amaranthline").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	addrs := freeAddresses(t, 4)
	cmd := exec.Command(binary, "sidecar", "--host", "127.0.0.1", "--domain", "a", "--domains", "a", "--service", "front",
		"--upstream", "http://127.0.0.1:9", "--ingress", addrs[0], "--peer", addrs[1], "--ready", addrs[2], "--admin", addrs[3],
		"--store", "127.0.0.1:9", "--grace", "1s")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if rsp, err := http.Get(fmt.Sprintf("http://%s/readyz", addrs[2])); err == nil {
			_ = rsp.Body.Close()
			return cmd
		}
	}
	t.Fatal("the sidecar did not answer readiness checks within 10 s")
	return nil
}

// freeAddresses returns addresses on which nothing listens.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	var addrs []string
	for range count {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = lis.Close() }() // at the end, so that each address is another one
		addrs = append(addrs, lis.Addr().String())
	}
	return addrs
}

// Guards against a graceful shutdown that a SIGHUP cuts short: all requests in flight were lost.
func TestHangupDuringShutdown(t *testing.T) {
	cmd := startSidecar(t)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond) // the shutdown pauses for half of the grace time
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Wait() // the status tells more than the error
	if diff := cmp.Diff("exit status 0", cmd.ProcessState.String()); diff != "" {
		t.Errorf("end of the process (-want +got):\n%s", diff)
	}
}
