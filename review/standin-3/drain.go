package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const drainBound = 3 * time.Second // drain_ms

// drainScenario lets a host leave. With trouble, a heartbeat of another writer,
// without zone, version and cold_remaining_ms, arrives at its agent.
func drainScenario(w *world, trouble bool) (bool, error) {
	var mu sync.Mutex
	var late int
	var hosts []*host
	for i := range w.sides {
		h := w.newHost(i, fmt.Sprintf("i-%04x", 0x7f30+i))
		h.onOpen = func(h *host, p packet) {
			if d := time.Since(h.drainAcked); !h.drainAcked.IsZero() && d > drainBound {
				mu.Lock()
				defer mu.Unlock()
				late++
				w.rec.line("LATE: host %s takes %s, %v after the acknowledgement of its leave", h.id, keyOf(p.src, p.dst), d)
			}
		}
		if err := h.start(); err != nil {
			return false, err
		}
		hosts = append(hosts, h)
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	if err := w.put(w.document(1, []route{{routeAddr, []string{"pages"}}}), 20*time.Second); err != nil {
		return false, err
	}
	var cs []*client
	for i := range 4 {
		c, err := w.newClient(i)
		if err != nil {
			return false, err
		}
		cs = append(cs, c)
	}
	if err := w.waitServing(cs[0], routeAddr, 25*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // contact_ms: all machines are in touch
	var ok, failed int
	for _, c := range cs {
		go func() {
			for !w.over.Load() {
				f := c.newFlow(routeAddr)
				err := f.handshake()
				if err == nil {
					_, err = f.request(2500 * time.Millisecond)
				}
				mu.Lock()
				if err == nil {
					ok++
				} else {
					failed++
					w.rec.line("request on %s failed: %v", f.key, err)
				}
				mu.Unlock()
				f.forget()
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	leaver := hosts[0]
	leaver.drain()
	time.Sleep(2500 * time.Millisecond)
	if leaver.drainAcked.IsZero() {
		return false, fmt.Errorf("the agent did not acknowledge that the host leaves")
	}
	if trouble {
		b, _ := json.Marshal(map[string]any{
			"service": w.serviceOf(0), "address": leaver.app().String(), "slots": 3, "state": "ready", "sequence": 1, "born": time.Now().UnixMilli(),
		})
		s := w.postBeat(0, "w-01", b)
		w.rec.say("a heartbeat of another writer, without zone, version and cold_remaining_ms, got status %d", s)
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	w.rec.say("%d requests answered, %d failed; %d flows reached the leaving host later than %v after the acknowledgement", ok, failed, late, drainBound)
	return late > 0, nil
}
