package config

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"gorselink/internal/tomlfile"
)

// LeaseCluster configures the voters of a lease server, for one of them or for a client.
// It is the table [quorum] of a file, with [[quorum.voters]].
type LeaseCluster struct {
	Cluster string
	Voters  []Voter
	ID      int // ID of the voter that this file configures; 0 in files for clients only
	Listen  string
	Dir     string        // directory of the voter's log
	Tick    time.Duration // interval of Raft ticks, the unit of the election and heartbeat timeouts

	Warnings []string // problems that do not prevent operation
}

// Voter is one replica of the lease server.
type Voter struct {
	ID      int
	Address string
}

const (
	maxVoters   = 9
	defaultTick = 100 * time.Millisecond
)

// LoadLeaseCluster reads the table [quorum] of the file at path and ignores other tables.
func LoadLeaseCluster(path string) (*LeaseCluster, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return ParseLeaseCluster(path, text)
}

// ParseLeaseCluster parses the table [quorum] of a file. Its error is tomlfile.Errors.
func ParseLeaseCluster(file string, text []byte) (*LeaseCluster, error) {
	top, err := tomlfile.Parse(file, text)
	if err != nil {
		return nil, err
	}
	if !top.Has("quorum") {
		top.AddErrorAt("quorum", "", "a table [quorum]")
	}
	table := top.Table("quorum")
	q := &LeaseCluster{Cluster: table.Text("cluster", ""), ID: table.Integer("id", 0, 1, 1<<31), Listen: table.Text("listen", ""), Dir: table.Text("dir", "")}
	q.Tick = table.Duration("tick", defaultTick, 10*time.Millisecond)
	if !tomlfile.ValidName(q.Cluster) {
		table.AddError("cluster", q.Cluster, "a name of 1 to 64 letters, digits, - and _")
	}
	ids, addresses := map[int]bool{}, map[string]bool{}
	for _, voter := range table.TableList("voters") {
		id, address := voter.Integer("id", 0, 1, 1<<31), voter.Text("address", "")
		if id == 0 || ids[id] {
			voter.AddErrorAt(voter.KeyPath("id"), tomlfile.FormatValue(int64(id)), "a number from 1 that no other voter, present or removed, has used")
		}
		if _, _, err := net.SplitHostPort(address); err != nil || addresses[address] {
			voter.AddError("address", address, "a unique address:port")
		}
		ids[id], addresses[address] = true, true
		voter.RejectUnknownKeys()
		q.Voters = append(q.Voters, Voter{id, address})
	}
	switch n := len(q.Voters); {
	case n == 0 || n > maxVoters:
		table.AddErrorAt(table.KeyPath("voters"), fmt.Sprintf("%d voters", n), fmt.Sprintf("1 to %d tables [[quorum.voters]]", maxVoters))
	case n%2 == 0:
		q.Warnings = append(q.Warnings, fmt.Sprintf("%s: quorum.voters: %d voters tolerate no more failures than %d voters", file, n, n-1))
	}
	if q.ID != 0 {
		if !ids[q.ID] {
			table.AddError("id", int64(q.ID), "the id of one of the voters")
		}
		if q.Dir == "" {
			table.AddErrorAt(table.KeyPath("dir"), "", "the directory of this voter's log")
		} else if !filepath.IsAbs(q.Dir) {
			q.Dir = filepath.Join(filepath.Dir(file), q.Dir)
		}
	}
	table.RejectUnknownKeys()
	if err := top.Err(); err != nil {
		return nil, err
	}
	return q, nil
}
