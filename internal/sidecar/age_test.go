package sidecar

import (
	"path/filepath"
	"testing"
	"time"

	"gorselink/internal/standin"
)

// An endpoint that a process has seen come is as young to the one that takes its place,
// whatever its stamp says.
func TestHandoverCarriesAges(t *testing.T) {
	const wrong = time.Hour // by which the clock of who stamps is behind
	entry := func(name string, since time.Time) standin.Entry {
		return standin.Entry{Name: name, Address: "127.0.0.1:1", Zone: "a", Status: "in_service", SinceMs: since.UnixMilli()}
	}
	agent, err := standin.StartAgent(entry("s-1", time.Now().Add(-3*wrong)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	path, temp := filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	put(t, path, configuration(freeAddr(t), agent.Addr()))
	old, _ := start(t, path, temp)
	agent.Update(entry("s-2", time.Now().Add(-wrong)))
	eventually(t, "the second endpoint", func() bool { return old.pool.Knows("s-2") })
	next, _ := start(t, path, temp)
	for name, p := range map[string]*process{"old": old, "next": next} {
		lives := p.pool.Ages().Incarnations
		if age := lives["s-2"].Age; age <= 0 || age > wrong/2 {
			t.Errorf("the %s process takes it for %v old, want some seconds", name, age)
		}
		if age := lives["s-1"].Age; age < 2*wrong {
			t.Errorf("the %s process takes the one that was there for %v old, want %v", name, age, 3*wrong)
		}
	}
	old.finish(t)
	next.finish(t)
}
