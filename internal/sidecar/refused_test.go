//go:build linux && amd64

package sidecar

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"gorselink/internal/standin"
)

// refusedChild makes the test binary a sidecar whose system calls are filtered.
const refusedChild = "GORSELINK_TEST_REFUSED"

func TestMain(m *testing.M) {
	if path := os.Getenv(refusedChild); path != "" {
		if err := refuse(); err != nil {
			println(err.Error())
			os.Exit(3)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if err := Run(ctx, Options{ConfigPath: path, TempDir: os.TempDir()}, nil); err != nil {
			println(err.Error())
			os.Exit(1)
		}
		return
	}
	if path := os.Getenv(plainChild); path != "" {
		if err := beSidecar(path); err != nil {
			println(err.Error())
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// refuse makes what a large fleet's platform refuses end with ENOSYS in all threads
// of this process: starting programs, io_uring, splice, sendfile, and sockets other
// than those of IPv4.
func refuse() error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const (
		load  = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
		equal = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
		ret   = unix.BPF_RET | unix.BPF_K
		allow = 0x7fff0000 // SECCOMP_RET_ALLOW
		enos  = 0x00050000 | uint32(unix.ENOSYS)
	)
	never := []uint32{unix.SYS_FORK, unix.SYS_VFORK, unix.SYS_EXECVE, unix.SYS_EXECVEAT, unix.SYS_SPLICE, unix.SYS_TEE,
		unix.SYS_SENDFILE, unix.SYS_IO_URING_SETUP, unix.SYS_IO_URING_ENTER, unix.SYS_IO_URING_REGISTER}
	prog := []unix.SockFilter{{Code: load, K: 0}}
	for _, nr := range never {
		prog = append(prog, unix.SockFilter{Code: equal, K: nr, Jf: 1}, unix.SockFilter{Code: ret, K: enos})
	}
	prog = append(prog,
		unix.SockFilter{Code: equal, K: unix.SYS_SOCKET, Jf: 3},
		unix.SockFilter{Code: load, K: 16}, // the first argument's low half
		unix.SockFilter{Code: equal, K: unix.AF_INET, Jt: 1},
		unix.SockFilter{Code: ret, K: enos},
		unix.SockFilter{Code: ret, K: allow})
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	p := unix.SockFprog{Len: uint16(len(prog)), Filter: &prog[0]}
	const setFilter, allThreads = 1, 1
	if _, _, errno := unix.Syscall(unix.SYS_SECCOMP, setFilter, allThreads, uintptr(unsafe.Pointer(&p))); errno != 0 {
		return errno
	}
	if _, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM, 0); err != unix.ENOSYS {
		return os.ErrInvalid // the filter does not hold
	}
	return nil
}

// A sidecar whose system calls are refused as a large fleet's bench refuses them
// serves short and long answers all the same, and says once what it does without.
func TestServesWithCallsRefused(t *testing.T) {
	long := string(bytes.Repeat([]byte("x"), 3<<20))
	node, err := standin.StartNode(standin.NodeConfig{Name: "s-1"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	big := endpoint(t, long)
	for _, c := range []struct{ name, address, want string }{{"short", node.Addr(), ""}, {"long", address(big), long}} {
		t.Run(c.name, func(t *testing.T) {
			discovery := told(t, "s-1", c.address)
			dir := t.TempDir()
			listen, path := freeAddr(t), filepath.Join(dir, "config.json")
			put(t, path, configuration(listen, address(discovery)))
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), refusedChild+"="+path, "TMPDIR="+dir)
			var mu sync.Mutex
			var log bytes.Buffer
			cmd.Stderr = writerFunc(func(b []byte) (int, error) {
				mu.Lock()
				defer mu.Unlock()
				return log.Write(b)
			})
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			t.Cleanup(func() { cmd.Process.Kill() })
			eventually(t, "an answer", func() bool {
				select {
				case err := <-ended:
					mu.Lock()
					defer mu.Unlock()
					t.Fatalf("the sidecar ended: %v\n%s", err, log.String())
				default:
				}
				got := askNew(listen)
				return got != "" && (c.want == "" || got == c.want)
			})
			mu.Lock()
			defer mu.Unlock()
			if n := bytes.Count(log.Bytes(), []byte("no other process can take this one's place")); n != 1 {
				t.Errorf("said %d times that no process can take its place, want once:\n%s", n, log.String())
			}
		})
	}
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }
