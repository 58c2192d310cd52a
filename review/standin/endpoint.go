package standin

import (
	"bufio"
	"net"
	"net/http"
)

// Endpoint is a stand-in for an endpoint.
type Endpoint struct {
	Name    string
	Address string
}

// Entry returns the endpoint's entry in a list: in service since long ago.
func (e *Endpoint) Entry() Entry {
	return Entry{Name: e.Name, Address: e.Address, Zone: "hall-a", Type: "gw-fast", Group: 1, Status: "in_service", Weight: 1}
}

// Serve starts an endpoint. For each request whose head has come, answer reads the body, writes
// the answer to conn and reports whether the connection stays open.
func (c *Case) Serve(name string, answer func(conn *net.TCPConn, r *http.Request) (keep bool)) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for in := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(in)
					if err != nil || !answer(conn.(*net.TCPConn), r) {
						return
					}
				}
			}()
		}
	}()
	return &Endpoint{name, l.Addr().String()}, nil
}
