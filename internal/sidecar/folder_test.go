package sidecar

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"gorselink/internal/standin"
)

// Where the folder for what operators say can never be made, the sidecar serves, and what
// they say is answered with an error and changes nothing: it would be forgotten with the
// process, and the next one would send where they have forbidden it.
func TestWordsThatCannotBeKeptAreRefused(t *testing.T) {
	agent, err := standin.StartAgent(standin.Entry{Name: "s-1", Address: "127.0.0.1:1", Zone: "a", Status: "in_service"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	path := filepath.Join(t.TempDir(), "config.json")
	put(t, path, configuration(freeAddr(t), agent.Addr()))
	noFolder := filepath.Join(t.TempDir(), "a file")
	if err := os.WriteFile(noFolder, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	p, console := start(t, path, noFolder)
	for path, body := range map[string]string{"/drain": "", "/undrain": "", "/endpoints/disable": `{"target":"s-1"}`} {
		if got := call(console, "POST", path, body); got != http.StatusInternalServerError {
			t.Errorf("%s is answered %d, want 500", path, got)
		}
	}
	if said := p.marks.State(); said.Drained || len(said.Disabled) > 0 {
		t.Errorf("the marks say %+v, want nothing", said)
	}
	if got := call(console, "GET", "/ready", ""); got != http.StatusOK {
		t.Errorf("ready: %d, want 200", got)
	}
}
