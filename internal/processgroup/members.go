package processgroup

import (
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// empty reports whether no process of the group runs. Processes that have ended and are not reaped,
// as the leader, do not count. If that cannot be found out, only an ended leader counts.
func (g *Group) empty() bool {
	paths, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil || len(paths) == 0 {
		slog.Error("cannot tell whether processes of a program are left: /proc is not readable", "error", err)
		return true
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has ended
		}
		if group, running := parseStat(string(text)); running && group == g.cmd.Process.Pid {
			return false
		}
	}
	return true
}

// parseStat returns the process group in the text of a stat file (proc(5)), and whether the process
// runs.
func parseStat(text string) (group int, running bool) {
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:]) // the name may contain anything
	if len(fields) < 3 {
		return 0, false
	}
	group, err := strconv.Atoi(fields[2])
	state := fields[0]
	return group, err == nil && state != "Z" && state != "X"
}
