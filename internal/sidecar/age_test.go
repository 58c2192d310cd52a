package sidecar

import (
	"path/filepath"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
)

// A successor takes the age of an endpoint from the handover, not from the endpoint's
// timestamp, because the clock that set it may be wrong.
func TestHandoverPreservesEndpointAges(t *testing.T) {
	const clockLag = time.Hour // of the clock behind the timestamps
	entry := func(name string, since time.Time) fakeserver.Entry {
		return fakeserver.Entry{Name: name, Address: "127.0.0.1:1", Zone: "a", Status: "in_service", SinceMs: since.UnixMilli()}
	}
	agent, err := fakeserver.StartAgent(entry("s-1", time.Now().Add(-3*clockLag)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	path, temp := filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	writeFile(t, path, configJSON(isolatedAddr(t), agent.Addr()))
	old, _ := startInstance(t, path, temp)
	agent.Update(entry("s-2", time.Now().Add(-clockLag)))
	eventually(t, "the second endpoint is listed", func() bool { return old.pool.EverListed("s-2") })
	next, _ := startInstance(t, path, temp)
	for name, p := range map[string]*sidecarInstance{"old": old, "next": next} {
		incarnations := p.pool.Ages().Incarnations
		if age := incarnations["s-2"].Age; age <= 0 || age > clockLag/2 {
			t.Errorf("%s process: the new endpoint is %v old, want some seconds", name, age)
		}
		if age := incarnations["s-1"].Age; age < 2*clockLag {
			t.Errorf("%s process: the first endpoint is %v old, want %v", name, age, 3*clockLag)
		}
	}
	old.finish(t)
	next.finish(t)
}
