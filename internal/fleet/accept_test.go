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
	"gorselink/internal/standin"
)

// operatedReady is a sidecar that is ready, and that nobody operates.
type operatedReady struct{ Controller }

func (operatedReady) Ready() bool { return true }

// An operator's call is answered after each error that an accept can fail with.
func TestAcceptSurvivesEveryTransientError(t *testing.T) {
	for _, errno := range standin.AcceptErrors {
		l := standin.Fail(listen(t), errno)
		s := NewConsole(operatedReady{})
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(NewLimitedListener(l)) }()
		client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + l.Addr().String() + "/ready")
		if err != nil {
			t.Fatalf("%v: %v", errno, err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK || !strings.HasPrefix(string(text), "ok") || l.Failed() != 1 {
			t.Errorf("%v: %s %q, %d accepts failed", errno, resp.Status, text, l.Failed())
		}
		s.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("%v: ended by %v", errno, err)
		}
	}
}

// The process that is to take this one's place is heard after each of them.
func TestSuccessorIsHeardAfterEveryTransientError(t *testing.T) {
	front := listen(t).(*net.TCPListener)
	for _, errno := range standin.AcceptErrors {
		dir := t.TempDir()
		inner, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(dir, socketName), Net: "unixpacket"})
		if err != nil {
			t.Fatal(err)
		}
		l := standin.Fail(inner, errno)
		s := &SuccessorListener{l: acceptloop.Wrap(l), done: make(chan struct{})}
		ended := make(chan struct{})
		go func() {
			s.serve(front, func() any { return "state" }, func(*HandoverLink) {}, func(*HandoverLink) {})
			close(ended)
		}()
		var got string
		link, over, err := TakeOver(dir, &got)
		if err != nil || link == nil || got != "state" || l.Failed() != 1 {
			t.Fatalf("%v: state %q, %v, %d accepts failed", errno, got, err, l.Failed())
		}
		over.Close()
		link.Close()
		s.Close()
		<-ended
	}
}
