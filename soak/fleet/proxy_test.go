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

	slowBy = 150 * time.Millisecond
)

type (
	proxyState int

	// proxy stands on a TCP path between two processes.
	proxy struct {
		to string

		mu    sync.Mutex
		state proxyState
		open  map[net.Conn]struct{}
	}
)

func newProxy(c *qt.C, at, to string) *proxy {
	p := &proxy{to: to, open: make(map[net.Conn]struct{})}
	l, err := net.Listen("tcp", at)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		_ = l.Close()
		p.set(cut)
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

// set changes what the proxy does from now on.
func (p *proxy) set(s proxyState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	if s != cut {
		return
	}
	for n := range p.open {
		if t, ok := n.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = n.Close()
	}
}

func (p *proxy) get() proxyState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *proxy) keep(ns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range ns {
		p.open[n] = struct{}{}
	}
}

func (p *proxy) serve(n net.Conn) {
	defer func() { _ = n.Close() }()
	if p.get() == cut {
		return
	}
	m, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		return
	}
	p.keep(n, m)
	done := make(chan struct{}, 2)
	go p.carry(m, n, false, done)
	go p.carry(n, m, true, done)
	<-done
	_ = n.Close()
	_ = m.Close()
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, n)
	delete(p.open, m)
}

func (p *proxy) carry(to io.Writer, from io.Reader, answers bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		switch s := p.get(); {
		case s == silent, s == oneWay && answers:
			// What was silenced never arrives, also later: the connection is
			// of no more use.
			for p.get() == s {
				time.Sleep(10 * time.Millisecond)
			}
			return
		case s == slow:
			time.Sleep(slowBy)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
