// Command standin-2 plays the platform, hosts, clients and the operator around
// the project's own programs, for cases 6 to 10 of the second review. It starts
// the programs from target/ and must run in the repository's root.
//
//	standin-2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"reuse": runReuse, "rolls": runRolls, "crash": runCrash, "beat": runBeat, "ack": runAck,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	defer f.stopAll()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, disruption %v", name, trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		b, err := cases[name](f, trouble)
		done <- result{b, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.say("could not run: %v", r.err)
			return 2
		case r.broken:
			rec.say("result: the rule was BROKEN")
			return 1
		}
		rec.say("result: the rule held")
		return 0
	case <-stop:
		rec.say("could not run: stopped by a signal")
	case <-time.After(maxTime):
		rec.say("could not run: out of time")
	}
	return 2
}
