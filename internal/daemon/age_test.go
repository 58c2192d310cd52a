package daemon

import (
	"fmt"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
)

// A pool that replaces another on reload takes over the ages of its nodes. It does not compute
// them from the timestamps of the list, which are wrong if the clock of their writer is.
func TestReloadCarriesAges(t *testing.T) {
	const clockLag = time.Hour // of the clock that sets the timestamps
	entry := func(name string, since time.Time) fakeserver.Entry {
		return fakeserver.Entry{Name: name, Address: "127.0.0.1:1", Status: "in_service", SinceMs: since.UnixMilli()}
	}
	agent, err := fakeserver.StartAgent(entry("n-1", time.Now().Add(-3*clockLag)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	nodes := fmt.Sprintf("discovery = %q\n", agent.Addr())
	d := startDaemon(t, baseConfig, poolText("a", nodes), routeText("", "a"))
	old := d.Pool("a")
	eventually(t, "the first node is known", func() bool { return old.EverListed("n-1") })
	agent.Update(entry("n-2", time.Now().Add(-clockLag)))
	eventually(t, "the second node is known", func() bool { return old.EverListed("n-2") })
	applyConfig(t, d, baseConfig, poolText("a", nodes+"attempts = 2\n"), routeText("", "a"))
	next := d.Pool("a")
	if next == old {
		t.Fatal("the pool was reused, want a new one")
	}
	incarnations := next.Ages().Incarnations
	if age := incarnations["n-2"].Age; age <= 0 || age > clockLag/2 {
		t.Errorf("age of the second node is %v, want some seconds", age)
	}
	if age := incarnations["n-1"].Age; age < 2*clockLag {
		t.Errorf("age of the first node is %v, want %v", age, 3*clockLag)
	}
}
