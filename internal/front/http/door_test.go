package httpfront

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// doorRig is a rig where clients enter, whose classes have an aim.
func doorRig(t *testing.T, hold chan struct{}) *rig {
	t.Helper()
	cfg := testConfig()
	cfg.Balance.Entry = true
	for i := range cfg.Balance.Classes {
		cfg.Balance.Classes[i].LatencyTarget = 500 * time.Millisecond
		cfg.Balance.Classes[i].Deadline = patience
	}
	return newRigOf(t, cfg, 128, hold)
}

// ask sends n requests at once, each on a connection of its own. Their answers
// come over the channel.
func (r *rig) ask(t *testing.T, n int, path string) <-chan int {
	t.Helper()
	statuses := make(chan int, n)
	for range n {
		c := r.dial(t)
		io.WriteString(c, strings.Replace(view(""), "/view/1", path, 1))
		go func() {
			status, _, _ := get(bufio.NewReader(c))
			c.Close()
			statuses <- status
		}()
	}
	return statuses
}

// refusals counts those among n answers.
func refusals(statuses <-chan int, n int) (refused int) {
	for range n {
		if <-statuses != 200 {
			refused++
		}
	}
	return refused
}

// Two late ones of ten are chance, and close the door on nobody.
func TestFewLateAnswersRefuseNobody(t *testing.T) {
	hold := make(chan struct{})
	r := doorRig(t, hold)
	if n := refusals(r.ask(t, 8, "/view/now"), 8); n > 0 {
		t.Fatalf("%d of the first 8 refused", n)
	}
	slow := r.ask(t, 2, "/view/1")
	time.Sleep(time.Second) // twice the aim
	more := r.ask(t, 8, "/view/1")
	eventually(t, "all are out or refused", func() bool { return r.requests.Load()+int64(len(more)) >= 18 })
	close(hold)
	if n := refusals(slow, 2) + refusals(more, 8); n > 0 {
		t.Errorf("%d of 10 refused", n)
	}
}

// Once a jam has closed the door of an instance that is a second old, it lets
// in what it has been serving all along within an aim.
func TestYoungDoorKnowsWhatIsServed(t *testing.T) {
	hold := make(chan struct{})
	r := doorRig(t, hold)
	for range 6 { // the rig's endpoint gets 32 connections at most
		if n := refusals(r.ask(t, 10, "/view/now"), 10); n > 0 {
			t.Fatalf("%d of the first 60 refused", n)
		}
	}
	jam := r.ask(t, 30, "/view/1")
	time.Sleep(time.Second) // twice the aim
	for len(jam) < 30 {
		select {
		case hold <- struct{}{}: // lets one go
		case <-time.After(time.Millisecond):
		}
	}
	reached := r.requests.Load()
	more := r.ask(t, 10, "/view/1")
	eventually(t, "10 are out or refused", func() bool { return r.requests.Load()-reached+int64(len(more)) >= 10 })
	close(hold)
	if n := refusals(more, 10); n > 0 {
		t.Errorf("%d of 10 refused after 60 were served within a second", n)
	}
}

// A jam closes the door; whoever is refused then is told when to come back.
func TestRefusalsTellWhenToComeBack(t *testing.T) {
	hold := make(chan struct{})
	r := doorRig(t, hold)
	jam := r.ask(t, 20, "/view/1")
	time.Sleep(time.Second) // twice the aim
	c := r.dial(t)
	io.WriteString(c, view(""))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("answer %v, %v, want a refusal", resp, err)
	}
	text := resp.Header.Get("Retry-After")
	if after, err := strconv.ParseFloat(text, 64); err != nil || after <= 0 || after > patience.Seconds()/2 {
		t.Errorf("Retry-After %q, want a part of the client's time in seconds", text)
	}
	close(hold)
	refusals(jam, 20)
}
