package fleet_test

import (
	"io"
	"net"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	passing proxyState = iota
	// cut proxies reset open connections and close new ones.
	cut
	// silent proxies keep connections open and forward nothing.
	silent
	// oneWay proxies forward requests and drop the responses.
	oneWay
	// slow proxies delay each block of data by slowDelay.
	slow

	slowDelay = 150 * time.Millisecond
)

type (
	// proxyState is how a proxy treats its connections.
	proxyState int

	// proxy is a TCP proxy between two processes that can impair their
	// connections.
	proxy struct {
		target string

		mu    sync.Mutex
		state proxyState
		conns map[net.Conn]struct{}
	}
)

// newProxy listens at an address and forwards connections to another until the
// end of the test.
func newProxy(c *qt.C, at, to string) *proxy {
	p := &proxy{target: to, conns: make(map[net.Conn]struct{})}
	l, err := net.Listen("tcp", at)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		_ = l.Close()
		p.setState(cut)
	})
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(n)
		}
	}()
	return p
}

// setState changes the state. cut resets all open connections at once.
func (p *proxy) setState(s proxyState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	if s != cut {
		return
	}
	for n := range p.conns {
		if t, ok := n.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = n.Close()
	}
}

func (p *proxy) currentState() proxyState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// track adds connections to those that cut resets.
func (p *proxy) track(ns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range ns {
		p.conns[n] = struct{}{}
	}
}

// serve forwards both directions of a connection until one of them ends.
func (p *proxy) serve(n net.Conn) {
	defer func() { _ = n.Close() }()
	if p.currentState() == cut {
		return
	}
	m, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	p.track(n, m)
	done := make(chan struct{}, 2)
	go p.copyData(m, n, false, done)
	go p.copyData(n, m, true, done)
	<-done
	_ = n.Close()
	_ = m.Close()
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, n)
	delete(p.conns, m)
}

// copyData forwards one direction of a connection and signals its end on done.
// isResponse is true for the direction from the server to its client.
func (p *proxy) copyData(to io.Writer, from io.Reader, isResponse bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		switch s := p.currentState(); {
		case s == silent, s == oneWay && isResponse:
			// The data read is lost, so the connection cannot be used any more:
			// it is closed when the state changes.
			for p.currentState() == s {
				time.Sleep(10 * time.Millisecond)
			}
			return
		case s == slow:
			time.Sleep(slowDelay)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
