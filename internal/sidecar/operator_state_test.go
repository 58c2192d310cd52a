package sidecar

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"gorselink/internal/fakeserver"
)

// If the directory for operator state cannot be created, the sidecar serves but rejects
// operator commands. A command that is not stored would be lost at the next restart.
func TestOperatorCommandsRejectedWithoutStorage(t *testing.T) {
	agent, err := fakeserver.StartAgent(fakeserver.Entry{Name: "s-1", Address: "127.0.0.1:1", Zone: "a", Status: "in_service"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, configJSON(isolatedAddr(t), agent.Addr()))
	notDir := filepath.Join(t.TempDir(), "a file")
	if err := os.WriteFile(notDir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	p, console := startInstance(t, path, notDir)
	for path, body := range map[string]string{"/drain": "", "/undrain": "", "/endpoints/disable": `{"target":"s-1"}`} {
		if got := callStatus(console, "POST", path, body); got != http.StatusInternalServerError {
			t.Errorf("%s: status %d, want 500", path, got)
		}
	}
	if state := p.operatorState.State(); state.Drained || len(state.Disabled) > 0 {
		t.Errorf("operator state is %+v, want it unchanged", state)
	}
	if got := callStatus(console, "GET", "/ready", ""); got != http.StatusOK {
		t.Errorf("ready: %d, want 200", got)
	}
}
