package app

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/google/uuid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/random"
)

const (
	fleetSize = 3
	// waitTimeout bounds every wait. No test result depends on how long a wait
	// takes.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

var fleetKey = peer.NewKey([]byte("test"))

type (
	// fleet is a set of control instances that communicate over loopback.
	fleet struct {
		c *qt.C
		// instances has the order of the settings.
		instances [fleetSize]*instance
	}

	// instance is one running control instance.
	instance struct {
		*Control
		// addr is the direct address, which bypasses the proxies and their
		// cuts.
		addr    netip.AddrPort
		cut     *atomic.Bool
		cancel  context.CancelFunc
		stopped sync.WaitGroup
	}
)

// newFleet starts the control instances. All traffic between them passes
// through proxies; the proxies from and to an instance can be cut.
func newFleet(c *qt.C) *fleet {
	f := &fleet{c: c}
	var ls [fleetSize]net.Listener
	var cuts [fleetSize]atomic.Bool
	for i := range ls {
		ls[i] = listen(c)
	}
	for i := range f.instances {
		var s Settings
		s.Name, s.DataFolder, s.LogLevel = instanceName(i), c.TempDir(), "error"
		for j, l := range ls {
			a := addrOf(l)
			if i != j {
				a = startProxy(c, a, &cuts[i], &cuts[j])
			}
			s.Instances = append(s.Instances, Instance{Name: instanceName(j), PeerAddr: a})
		}
		s.SetDefaults()
		f.instances[i] = startInstance(c, s, ls[i], &cuts[i])
	}
	return f
}

func instanceName(i int) string { return "control-" + strconv.Itoa(i+1) }

func listen(c *qt.C) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return l
}

func addrOf(l net.Listener) netip.AddrPort { return netip.MustParseAddrPort(l.Addr().String()) }

func startInstance(c *qt.C, s Settings, l net.Listener, cut *atomic.Bool) *instance {
	t, err := New(s, clock.System{}, random.System{}, fleetKey)
	c.Assert(err, qt.IsNil)
	p := peer.NewServer(l)
	c.Assert(p.AddControl(fleetKey, t), qt.IsNil)
	c.Assert(p.AddReplica(fleetKey, t), qt.IsNil)
	x, cancel := context.WithCancel(context.Background())
	n := &instance{Control: t, addr: addrOf(l), cut: cut, cancel: cancel}
	for _, v := range append(t.Threads(), transport.Server(p)) {
		n.stopped.Go(func() {
			if err := v.Start(x); err != nil {
				c.Error(err)
			}
		})
	}
	c.Cleanup(n.kill)
	return n
}

// kill stops the threads without a shutdown notice.
func (n *instance) kill() {
	n.cancel()
	n.stopped.Wait()
}

// startProxy returns the address of a proxy to a. While any of cuts is set, the
// proxy holds data back but does not close or refuse connections.
func startProxy(c *qt.C, a netip.AddrPort, cuts ...*atomic.Bool) netip.AddrPort {
	l := listen(c)
	x, cancel := context.WithCancel(context.Background())
	c.Cleanup(func() { cancel(); _ = l.Close() })
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			go proxyConn(x, n, a, cuts)
		}
	}()
	return addrOf(l)
}

func proxyConn(c context.Context, n net.Conn, a netip.AddrPort, cuts []*atomic.Bool) {
	defer func() { _ = n.Close() }()
	m, err := net.Dial("tcp", a.String())
	if err != nil {
		return
	}
	defer func() { _ = m.Close() }()
	stop := context.AfterFunc(c, func() { _ = n.Close(); _ = m.Close() })
	defer stop()
	var w sync.WaitGroup
	w.Go(func() { copyUnlessCut(c, m, n, cuts) })
	w.Go(func() { copyUnlessCut(c, n, m, cuts) })
	w.Wait()
}

func copyUnlessCut(c context.Context, to, from net.Conn, cuts []*atomic.Bool) {
	defer func() { _ = to.Close() }()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		for isAnyCut(cuts) && c.Err() == nil {
			time.Sleep(pollInterval)
		}
		if _, werr := to.Write(b[:n]); werr != nil || err != nil {
			return
		}
	}
}

func isAnyCut(cuts []*atomic.Bool) bool {
	for _, b := range cuts {
		if b.Load() {
			return true
		}
	}
	return false
}

// eventually waits until ok returns true, at most for waitTimeout.
func (f *fleet) eventually(what string, ok func() bool) {
	f.c.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			f.c.Fatalf("%s: did not happen in time", what)
		}
	}
}

// leader waits for a leader that is not in except.
func (f *fleet) leader(except ...*instance) *instance {
	f.c.Helper()
	var found *instance
	f.eventually("a leader", func() bool {
		for _, n := range f.instances {
			if n.status.Load().Role == replicate.RoleLeader && !isOneOf(n, except) {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

func isOneOf(n *instance, ns []*instance) bool {
	for _, x := range ns {
		if x == n {
			return true
		}
	}
	return false
}

// submit sends b to the leader and retries until it is answered.
func (f *fleet) submit(b balsampier.Submission, except ...*instance) balsampier.SubmissionAnswer {
	f.c.Helper()
	var a balsampier.SubmissionAnswer
	f.eventually("an answer", func() bool {
		x, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var err error
		a, _, err = f.leader(except...).Submit(x, b)
		return err == nil
	})
	return a
}

func newSubmission(base balsampier.Revision) balsampier.Submission {
	return balsampier.Submission{
		ID: uuid.New(), Base: base,
		Text: "rule reservas to 127.0.0.1:8443 from 0.0.0.0/0 # Rosa, " + uuid.NewString() + "\n",
	}
}

// watch watches an instance from position p, at its direct address.
func (n *instance) watch(c context.Context, p balsampier.WatchPosition, f func(balsampier.WatchMessage) error) error {
	l := peer.NewControlClient(fleetKey, []netip.AddrPort{n.addr}, random.System{})
	return l.Watch(c, balsampier.WatchRequest{
		Member: balsampier.Member{ID: 1, Name: "balancer-1", Role: balsampier.RoleBalancer}, Position: p,
	}, f)
}
