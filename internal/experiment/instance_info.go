package experiment

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// InstanceInfo is the data of the templates in an experiment: where one instance runs and
// how it reaches the others.
type InstanceInfo struct {
	Name      string // such as i017
	Index     int
	Count     int
	Seed      uint64 // differs by instance
	Dir       string // working directory, empty at the first start and kept over restarts
	Config    string // path of the configuration file
	Host      string // loopback address of this instance
	NodesFile string // file with the nodes' addresses as this instance reaches them, one per line
	NodeList  []string

	ports      []string
	peerCount  int
	linkedAddr func(to int, port string) string
	block      int
}

// Address returns the address on which this instance opens a port.
func (p *InstanceInfo) Address(port string) (string, error) {
	return p.address(p.Index, port, portBase)
}

// Advertise returns the address of a port that every other instance can use. Connections to
// it go over the sender's link, which is found by the sender's loopback address. Without a
// link to this instance it is the port itself.
func (p *InstanceInfo) Advertise(port string) (string, error) {
	if _, err := p.Address(port); err != nil || p.linkedAddr == nil {
		return "127.0.0.1:1", err
	}
	return p.linkedAddr(-1, port), nil
}

// Reach returns the address at which this instance reaches a port of instance i, which may be
// itself.
func (p *InstanceInfo) Reach(i int, port string) (string, error) {
	if i == p.Index {
		return p.Address(port)
	}
	return Peer{Index: i, from: p}.Address(port)
}

// Peers returns all other instances as this one reaches them.
func (p *InstanceInfo) Peers() (all []Peer) {
	for i := range p.peerCount {
		if i != p.Index {
			all = append(all, Peer{Name: formatInstanceName(i), Index: i, from: p})
		}
	}
	return all
}

// Peer is another instance, as seen by one instance.
type Peer struct {
	Name  string
	Index int
	from  *InstanceInfo
}

// Address returns the address at which the instance reaches a port of the peer, over the link
// between them if there is one.
func (p Peer) Address(port string) (string, error) {
	a, err := p.from.address(p.Index, port, portBase)
	if err != nil || p.from.linkedAddr == nil {
		return a, err
	}
	return p.from.linkedAddr(p.Index, port), nil
}

func (p *InstanceInfo) address(i int, port string, base int) (string, error) {
	for k, name := range p.ports {
		if name == port {
			return instanceHost(p.block, i) + ":" + strconv.Itoa(base+k), nil
		}
	}
	return "", fmt.Errorf("unknown port %q, want one of %s", port, strings.Join(p.ports, ", "))
}

func formatInstanceName(i int) string { return fmt.Sprintf("i%03d", i) }

// Each run takes a block of loopback addresses, 127.B.0.0/16, so that several can run at once
// without competing for ports. Each instance has an address in the block; its links listen on
// that address too.
const (
	firstAddressBlock = 64
	addressBlocks     = 128
	lockPort          = 19999
	portBase          = 20000 // of the ports that an instance opens
	maxPorts          = 8     // per instance
	advertiseBase     = 20100 // of the advertised ports
	callerBase        = 20200 // of the ports that callers connect to, over a link
	nodeBase          = 21000 // of the links to nodes, maxNodes at most
	peerBase          = 22000 // of the links to peers, maxPorts for each
)

func instanceHost(block, instance int) string {
	return fmt.Sprintf("127.%d.%d.%d", block, 1+instance/250, 1+instance%250)
}

// instanceOfHost returns the instance that has an address, if the address is in the block.
func instanceOfHost(block int, a netip.Addr) (int, bool) {
	b := a.As4()
	i := (int(b[2])-1)*250 + int(b[3]) - 1
	return i, int(b[1]) == block && b[2] >= 1 && b[3] >= 1
}

// acquireAddressBlock takes a block that no other run has. The listener holds the block and is
// closed by the system when the process exits.
func acquireAddressBlock() (int, net.Listener, error) {
	var errs []error
	for i := range addressBlocks {
		b := firstAddressBlock + (os.Getpid()+i)%addressBlocks
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", b, lockPort))
		if err == nil {
			return b, l, nil
		}
		if errs = append(errs, err); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return 0, nil, fmt.Errorf("no free block of loopback addresses: %w", errs[len(errs)-1])
}

// dirPrefix is followed by the process ID in the names of run directories.
const dirPrefix = "gorselink-prove-"

// makeRunDir makes the directory of a run. It also removes the directories of processes that no
// longer exist, as a killed process can't remove its own.
func makeRunDir() (string, error) {
	old, _ := filepath.Glob(filepath.Join(os.TempDir(), dirPrefix+"*"))
	for _, dir := range old {
		pid, _, _ := strings.Cut(strings.TrimPrefix(filepath.Base(dir), dirPrefix), "-")
		if n, err := strconv.Atoi(pid); err == nil && n > 1 && errors.Is(syscall.Kill(n, 0), syscall.ESRCH) {
			os.RemoveAll(dir)
		}
	}
	return os.MkdirTemp("", dirPrefix+strconv.Itoa(os.Getpid())+"-")
}
