package config

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"gorselink/internal/tomlfile"
)

// Quorum is a cluster of voters as a file names it: [quorum], with [[quorum.voters]].
type Quorum struct {
	Cluster string
	Voters  []QuorumVoter
	ID      int // of the voter that this file is for; 0 for clients only
	Listen  string
	Dir     string
	Tick    time.Duration

	Warnings []string
}

// QuorumVoter is one voter.
type QuorumVoter struct {
	ID      int
	Address string
}

const (
	mostVoters  = 9
	defaultTick = 100 * time.Millisecond
)

// LoadQuorum reads the quorum of a file, whatever else stands in it.
func LoadQuorum(path string) (*Quorum, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return ParseQuorum(path, text)
}

// ParseQuorum reads the text of a file. A text with any fault gives none.
func ParseQuorum(file string, text []byte) (*Quorum, error) {
	top, err := tomlfile.Parse(file, text)
	if err != nil {
		return nil, err
	}
	if !top.Has("quorum") {
		top.AddErrorAt("quorum", "", "a table [quorum]")
	}
	t := top.Table("quorum")
	q := &Quorum{Cluster: t.Text("cluster", ""), ID: t.Integer("id", 0, 1, 1<<31), Listen: t.Text("listen", ""), Dir: t.Text("dir", "")}
	q.Tick = t.Duration("tick", defaultTick, 10*time.Millisecond)
	if !tomlfile.ValidName(q.Cluster) {
		t.AddError("cluster", q.Cluster, "a name of letters, digits, - and _, 64 at most")
	}
	seen, addresses := map[int]bool{}, map[string]bool{}
	for _, v := range t.TableList("voters") {
		id, address := v.Integer("id", 0, 1, 1<<31), v.Text("address", "")
		if id == 0 || seen[id] {
			v.AddErrorAt(v.KeyPath("id"), tomlfile.FormatValue(int64(id)), "a number from 1 that no other voter has or had")
		}
		if _, _, err := net.SplitHostPort(address); err != nil || addresses[address] {
			v.AddError("address", address, "address:port, each once")
		}
		seen[id], addresses[address] = true, true
		v.RejectUnknownKeys()
		q.Voters = append(q.Voters, QuorumVoter{id, address})
	}
	switch n := len(q.Voters); {
	case n == 0 || n > mostVoters:
		t.AddErrorAt(t.KeyPath("voters"), fmt.Sprintf("%d of them", n), fmt.Sprintf("1 to %d, [[quorum.voters]]", mostVoters))
	case n%2 == 0:
		q.Warnings = append(q.Warnings, fmt.Sprintf("%s: quorum.voters: %d of them bear the loss of no more than %d would", file, n, n-1))
	}
	if q.ID != 0 {
		if !seen[q.ID] {
			t.AddError("id", int64(q.ID), "one of the voters")
		}
		if q.Dir == "" {
			t.AddErrorAt(t.KeyPath("dir"), "", "the folder of this voter's log")
		} else if !filepath.IsAbs(q.Dir) {
			q.Dir = filepath.Join(filepath.Dir(file), q.Dir)
		}
	}
	t.RejectUnknownKeys()
	if err := top.Err(); err != nil {
		return nil, err
	}
	return q, nil
}
