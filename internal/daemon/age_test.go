package daemon

import (
	"fmt"
	"testing"
	"time"

	"gorselink/internal/standin"
)

// A pool that a reload makes anew takes a node for as young as the one before did, which had
// seen it come, whatever its stamp says.
func TestReloadCarriesAges(t *testing.T) {
	const wrong = time.Hour // by which the clock of who stamps is behind
	entry := func(name string, since time.Time) standin.Entry {
		return standin.Entry{Name: name, Address: "127.0.0.1:1", Status: "in_service", SinceMs: since.UnixMilli()}
	}
	agent, err := standin.StartAgent(entry("n-1", time.Now().Add(-3*wrong)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	nodes := fmt.Sprintf("discovery = %q\n", agent.Addr())
	d := start(t, head, poolText("a", nodes), routeText("", "a"))
	old := d.Pool("a")
	eventually(t, "the first node", func() bool { return old.Knows("n-1") })
	agent.Change(entry("n-2", time.Now().Add(-wrong)))
	eventually(t, "the second node", func() bool { return old.Knows("n-2") })
	apply(t, d, head, poolText("a", nodes+"attempts = 2\n"), routeText("", "a"))
	next := d.Pool("a")
	if next == old {
		t.Fatal("the pool goes on, want one that starts anew")
	}
	lives := next.Ages().Incarnations
	if age := lives["n-2"].Age; age <= 0 || age > wrong/2 {
		t.Errorf("taken for %v old, want some seconds", age)
	}
	if age := lives["n-1"].Age; age < 2*wrong {
		t.Errorf("the one that was there is taken for %v old, want %v", age, 3*wrong)
	}
}
