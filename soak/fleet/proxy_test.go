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
	// cut proxies reset what is open and refuse what is new.
	cut
	// silent proxies keep connections and carry nothing.
	silent
	// oneWay proxies carry requests and lose the answers.
	oneWay
	// slow proxies carry everything late.
	slow

	slowDelay = 150 * time.Millisecond
)

type (
	proxyState int

	// proxy stands on a TCP path between two processes.
	proxy struct {
		target string

		mu    sync.Mutex
		state proxyState
		conns map[net.Conn]struct{}
	}
)

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

// setState changes what the proxy does from now on.
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

func (p *proxy) track(ns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range ns {
		p.conns[n] = struct{}{}
	}
}

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
			// What was silenced never arrives, also later: the connection is
			// of no more use.
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
