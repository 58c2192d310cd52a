package fakeserver

import (
	"net"
	"net/http"
	"testing"
)

// Guards against a node that stops accepting connections after a transient error.
func TestAcceptSurvivesEveryTransientError(t *testing.T) {
	n := startNode(t, NodeConfig{Name: "s-1"})
	for _, errno := range TransientAcceptErrors {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := NewFailingListener(inner, errno)
		n.mu.Lock()
		original := n.listener
		n.listener = l
		n.mu.Unlock()
		ended := make(chan struct{})
		go func() { n.accept(l); close(ended) }()
		client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + l.Addr().String() + "/x")
		if err != nil {
			t.Fatalf("request after accept error %v: %v", errno, err)
		}
		resp.Body.Close()
		if l.FailedAccepts() != 1 {
			t.Errorf("accept error %v: %d failed accepts, want 1", errno, l.FailedAccepts())
		}
		n.mu.Lock()
		n.listener = original
		n.mu.Unlock()
		l.Close()
		<-ended
	}
}
