package stand

import (
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Proxy passes TCP connections on to a server, until Silence.
type Proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	open  map[*pair]bool
}

// pair is one connection that is passed on.
type pair struct {
	client, server net.Conn
	mutex          sync.Mutex
	silent         bool
}

// NewProxy returns a proxy for a server at a loopback address. The caller closes it.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{listener: listener, target: target, open: make(map[*pair]bool)}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Open returns how many connections are passed on now.
func (p *Proxy) Open() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.open)
}

// Silence makes the open connections silent for good: they stay open, and nothing is passed on any more. New connections
// work. It returns how many there were.
func (p *Proxy) Silence() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for one := range p.open {
		one.mutex.Lock()
		one.silent = true
		one.mutex.Unlock()
	}
	return len(p.open)
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for one := range p.open {
		_ = one.client.Close()
		_ = one.server.Close()
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(client)
	}
}

// pass passes one connection on until either side ends it.
func (p *Proxy) pass(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	one := &pair{client: client, server: server}
	p.mutex.Lock()
	p.open[one] = true
	p.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { one.copy(server, client) })
	both.Go(func() { one.copy(client, server) })
	both.Wait()
	p.mutex.Lock()
	delete(p.open, one)
	p.mutex.Unlock()
}

// copy passes bytes on in one direction. The end of a silent connection is not passed on either.
func (o *pair) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		o.mutex.Lock()
		silent := o.silent
		o.mutex.Unlock()
		if silent {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		if count > 0 {
			if _, failed := to.Write(buffer[:count]); failed != nil {
				err = failed
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			if tcp, half := to.(*net.TCPConn); half {
				_ = tcp.CloseWrite()
				return
			}
		}
		_ = to.Close()
		_ = from.Close()
		return
	}
}
