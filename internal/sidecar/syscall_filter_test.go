//go:build linux

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

	"gorselink/internal/fakeserver"
)

// filteredChildEnv makes the test binary run as a sidecar with a system call filter.
const filteredChildEnv = "GORSELINK_TEST_REFUSED"

func TestMain(m *testing.M) {
	if path := os.Getenv(filteredChildEnv); path != "" {
		if err := installSyscallFilter(); err != nil {
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
	if path := os.Getenv(sidecarChildEnv); path != "" {
		if err := runSidecarChild(path); err != nil {
			println(err.Error())
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// forbiddenCalls are the system calls that fail with ENOSYS on every architecture, in addition to
// processCreationCalls.
var forbiddenCalls = []uint32{unix.SYS_EXECVE, unix.SYS_EXECVEAT, unix.SYS_SPLICE, unix.SYS_TEE,
	unix.SYS_SENDFILE, unix.SYS_IO_URING_SETUP, unix.SYS_IO_URING_ENTER, unix.SYS_IO_URING_REGISTER}

// installSyscallFilter makes system calls that some platforms forbid fail with ENOSYS in all
// threads of this process: fork and exec, io_uring, splice, sendfile, and non-IPv4 sockets.
func installSyscallFilter() error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const (
		load       = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
		equal      = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
		ret        = unix.BPF_RET | unix.BPF_K
		allow      = 0x7fff0000 // SECCOMP_RET_ALLOW
		failENOSYS = 0x00050000 | uint32(unix.ENOSYS)
	)
	// Call numbers hold for one architecture.
	prog := []unix.SockFilter{
		{Code: load, K: 4}, // the architecture of the call
		{Code: equal, K: auditArch, Jt: 1},
		{Code: ret, K: failENOSYS},
		{Code: load, K: 0}, // the number of the call
	}
	for _, nr := range append(processCreationCalls, forbiddenCalls...) {
		prog = append(prog, unix.SockFilter{Code: equal, K: nr, Jf: 1}, unix.SockFilter{Code: ret, K: failENOSYS})
	}
	prog = append(prog,
		unix.SockFilter{Code: equal, K: unix.SYS_SOCKET, Jf: 3},
		unix.SockFilter{Code: load, K: 16}, // low 32 bits of the first argument
		unix.SockFilter{Code: equal, K: unix.AF_INET, Jt: 1},
		unix.SockFilter{Code: ret, K: failENOSYS},
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
		return os.ErrInvalid // the filter has no effect
	}
	return nil
}

// A sidecar with forbidden system calls serves short and long responses, and logs once that no
// process can take over from it.
func TestServesWithFilteredSyscalls(t *testing.T) {
	long := string(bytes.Repeat([]byte("x"), 3<<20))
	node, err := fakeserver.StartNode(fakeserver.NodeConfig{Name: "s-1"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	big := newEndpointServer(t, long)
	for _, c := range []struct{ name, address, want string }{{"short", node.Addr(), ""}, {"long", serverAddr(big), long}} {
		t.Run(c.name, func(t *testing.T) {
			discovery := newDiscoveryServer(t, "s-1", c.address)
			dir := t.TempDir()
			listen, path := isolatedAddr(t), filepath.Join(dir, "config.json")
			writeFile(t, path, configJSON(listen, serverAddr(discovery)))
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), filteredChildEnv+"="+path, "TMPDIR="+dir)
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
			eventually(t, "a response", func() bool {
				select {
				case err := <-ended:
					mu.Lock()
					defer mu.Unlock()
					t.Fatalf("the sidecar exited: %v\n%s", err, log.String())
				default:
				}
				got := getWithNewID(listen)
				return got != "" && (c.want == "" || got == c.want)
			})
			mu.Lock()
			defer mu.Unlock()
			if n := bytes.Count(log.Bytes(), []byte("no other process can take this one's place")); n != 1 {
				t.Errorf("logged %d times that no process can take over, want once:\n%s", n, log.String())
			}
		})
	}
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }
