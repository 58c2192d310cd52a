package fleet

import (
	"errors"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"gorselink/internal/acceptloop"
	"gorselink/internal/fakeserver"
)

// readyController is a Controller that is ready and supports no other operation.
type readyController struct{ Controller }

func (readyController) Ready() bool { return true }

// The console serves requests after any transient error of accept.
func TestConsoleAcceptContinuesAfterTransientErrors(t *testing.T) {
	for _, errno := range fakeserver.TransientAcceptErrors {
		l := fakeserver.NewFailingListener(listen(t), errno)
		s := NewConsole(readyController{})
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(NewLimitedListener(l)) }()
		client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + l.Addr().String() + "/ready")
		if err != nil {
			t.Fatalf("%v: %v", errno, err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK || !strings.HasPrefix(string(text), "ok") || l.FailedAccepts() != 1 {
			t.Errorf("%v: %s %q, %d accepts failed, want 200, ok and 1", errno, resp.Status, text, l.FailedAccepts())
		}
		s.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("%v: Serve returned %v, want http.ErrServerClosed", errno, err)
		}
	}
}

// A successor can take over after any transient error of accept.
func TestSuccessorAcceptContinuesAfterTransientErrors(t *testing.T) {
	front := listen(t).(*net.TCPListener)
	for _, errno := range fakeserver.TransientAcceptErrors {
		dir := t.TempDir()
		inner, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(dir, socketName), Net: "unixpacket"})
		if err != nil {
			t.Fatal(err)
		}
		l := fakeserver.NewFailingListener(inner, errno)
		s := &SuccessorListener{listener: acceptloop.Wrap(l), done: make(chan struct{})}
		ended := make(chan struct{})
		go func() {
			s.serve(front, func() any { return "state" }, func(*HandoverLink) {}, func(*HandoverLink) {})
			close(ended)
		}()
		var got string
		link, listener, err := TakeOver(dir, &got)
		if err != nil || link == nil || got != "state" || l.FailedAccepts() != 1 {
			t.Fatalf("%v: state %q, error %v, %d accepts failed, want state, no error and 1", errno, got, err, l.FailedAccepts())
		}
		listener.Close()
		link.Close()
		s.Close()
		<-ended
	}
}
