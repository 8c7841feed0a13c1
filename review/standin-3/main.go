// Standin-3 plays the platform, hosts and clients of one small deployment around
// the project's own programs, for the scripts of the review.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit ends a run that hangs.
const limit = 110 * time.Second

// scenarios returns true if the rule was broken.
var scenarios = map[string]func(w *world, trouble bool) (bool, error){
	"firststart": firstStartScenario,
}

var deployments = map[string]struct {
	fronts   int
	services []string
}{
	"firststart": {6, []string{"pages", "pages", "pages", "pages"}},
}

// routeAddr is the address of the route; nothing listens there.
var routeAddr = netip.MustParseAddrPort("127.99.0.1:8443")

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: standin-3 SCENARIO RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	d := deployments[os.Args[1]]
	w, err := newWorld(rec, d.fronts, d.services)
	if err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		b, err := scenarios[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
		done <- result{b, err}
	}()
	r := result{err: fmt.Errorf("stopped or out of time")}
	select {
	case r = <-done:
	case <-stop:
	case <-time.After(limit):
	}
	w.end()
	switch {
	case r.err != nil:
		rec.say("cannot run: %v", r.err)
		return 2
	case r.broken:
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
