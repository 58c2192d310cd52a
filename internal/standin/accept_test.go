package standin

import (
	"net"
	"net/http"
	"testing"
)

// A node goes on after each error that an accept can fail with.
func TestAcceptSurvivesEveryTransientError(t *testing.T) {
	n := start(t, NodeConfig{Name: "s-1"})
	for _, errno := range TransientAcceptErrors {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := NewFailingListener(inner, errno)
		n.mu.Lock()
		own := n.l
		n.l = l
		n.mu.Unlock()
		ended := make(chan struct{})
		go func() { n.accept(l); close(ended) }()
		client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + l.Addr().String() + "/x")
		if err != nil {
			t.Fatalf("%v: %v", errno, err)
		}
		resp.Body.Close()
		if l.FailedAccepts() != 1 {
			t.Errorf("%v: %d accepts failed, want 1", errno, l.FailedAccepts())
		}
		n.mu.Lock()
		n.l = own
		n.mu.Unlock()
		l.Close()
		<-ended
	}
}
