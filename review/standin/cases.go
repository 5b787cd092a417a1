package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// linkBytesPerS is the speed of a machine's link, linkMbps of the settings.
	linkBytesPerS = 1000e6 / 8
	// garbageBytes is the length of the malformed message. It is shorter than the bodies that maxBodyBytes
	// of the bench's example of a configuration allows (67108864).
	garbageBytes = 56 << 20
	// inTouch exceeds stableS, after which a machine is in touch.
	inTouch = 4 * time.Second
)

// garbage sends one line that is not a response, at less than the speed of the link.
func garbage(c net.Conn) int {
	part := make([]byte, 64<<10)
	for i := range part {
		part[i] = byte(128 + rand.IntN(128))
	}
	written, start := 0, time.Now()
	for written < garbageBytes {
		n, err := c.Write(part)
		written += n
		if err != nil {
			return written
		}
		if ahead := time.Duration(float64(written)/(0.8*linkBytesPerS)*float64(time.Second)) - time.Since(start); ahead > 0 {
			time.Sleep(ahead)
		}
	}
	_, _ = c.Write([]byte("\r\n"))
	return written
}

// malformedAnswer: a faulty upstream sends bytes that are not a response in place of one answer.
func malformedAnswer(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, 400*time.Millisecond, "taller", "bodega", "bodega")
	if err != nil {
		return notShown, err
	}
	defer f.stop()
	f.store.putConfig(1, []string{"taller", "bodega"}, usualLimits(),
		route{"hoja", "/hoja/", "safe", "taller", 4, 2, 2, 2}, route{"stock", "/stock/", "unsafe", "bodega", 4, 1, 0, 2})
	if err := f.start(); err != nil {
		return notShown, err
	}
	first := f.machines[0]
	stopAt := time.Now().Add(16 * time.Second)
	var mu sync.Mutex
	var lost []string
	sent, answered := 0, 0
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Go(func() {
			c := &client{address: first.address(outboundPort), record: rec}
			defer c.close()
			for k := 0; time.Now().Before(stopAt); k++ {
				id := fmt.Sprintf("stock-%d-%d", n, k)
				o, kept := c.send("PUT", "/stock/1", id, 5*time.Second, strings.Repeat("x", 4000))
				ran := f.machines[1].upstream.ran(id) || f.machines[2].upstream.ran(id)
				mu.Lock()
				sent++
				if o.status == 200 {
					answered++
				}
				if kept && o.written && o.status == 0 && ran {
					lost = append(lost, id)
				}
				mu.Unlock()
				if o.status != 200 {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(inTouch)
	if trouble {
		first.upstream.setFaulty(func(c net.Conn, r *http.Request) bool {
			n := garbage(c)
			rec.add("upstream %s: sent %d bytes that are not a response in place of the answer to %s", first.upstream.id, n, r.Header.Get(headerID))
			return true
		})
	}
	c := &client{address: f.machines[1].address(outboundPort), record: rec}
	c.send("GET", "/hoja/1", "hoja-1", 5*time.Second, "")
	c.close()
	first.upstream.setFaulty(nil)
	wg.Wait()
	for _, m := range f.machines {
		rec.add("%s: peak memory %d MB, ended by itself %d times", m.name, m.peak(), m.ends())
	}
	if answered < 50 {
		return notShown, fmt.Errorf("only %d of %d requests were answered", answered, sent)
	}
	return conclude(rec, len(lost) > 3, "%d of %d requests ran at a sound upstream, and their kept connection was closed without an answer (more than 3 break LOST); "+
		"peak memory of the first process %d MB of %d, it ended %d times: %s", len(lost), sent, first.peak(), memoryMB, first.ends(), strings.Join(lost, " "))
}

// oddEntry: another writer leaves one entry that lacks fields among those of the upstreams, for some seconds.
func oddEntry(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, 50*time.Millisecond, "vitrina", "bodega")
	if err != nil {
		return notShown, err
	}
	defer f.stop()
	f.store.putConfig(1, []string{"vitrina", "bodega"}, usualLimits(), route{"stock", "/stock/", "unsafe", "bodega", 4, 1, 0, 2})
	server := f.machines[1].upstream
	if trouble {
		odd := map[string]any{"address": server.address(), "born": server.born,
			"info": map[string]any{"service": "bodega", "slots": 43}, "status": map[string]any{"state": "ready"}}
		f.store.put("servers/odd", odd)
		rec.add("another writer: writes servers/odd, without zone, version, sequence and warmupLeftS: %v", odd)
	}
	if err := f.start(); err != nil {
		return notShown, err
	}
	time.Sleep(inTouch)
	served, sent := 0, 0
	start := time.Now()
	removed := false
	for time.Since(start) < 30*time.Second {
		if trouble && !removed && time.Since(start) > 6*time.Second {
			f.store.remove("servers/odd")
			rec.add("the store: removes servers/odd, which nobody renews")
			removed = true
		}
		c := &client{address: f.machines[sent%2].address(outboundPort), record: rec}
		o, _ := c.send("PUT", "/stock/1", fmt.Sprint("stock-", sent), 5*time.Second, "body")
		c.close()
		sent++
		if o.status == 200 {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	if sent < 20 {
		return notShown, fmt.Errorf("only %d requests were sent", sent)
	}
	return conclude(rec, served == 0, "%d of %d requests were served (none breaks Fault)", served, sent)
}

// oldLimits: a configuration with higher limits comes while connections are idle.
func oldLimits(rec *record, trouble bool) (int, error) {
	const connections = 12
	f, err := newFleet(rec, 20*time.Millisecond, "vitrina", "bodega")
	if err != nil {
		return notShown, err
	}
	defer f.stop()
	services, stock := []string{"vitrina", "bodega"}, route{"stock", "/stock/", "unsafe", "bodega", 4, 1, 0, 2}
	limits := usualLimits()
	if trouble {
		limits["maxHeaderBytes"] = 4096
	}
	f.store.putConfig(7, services, limits, stock)
	if err := f.start(); err != nil {
		return notShown, err
	}
	time.Sleep(inTouch)
	var clients []*client
	sent, before := 0, 0
	for n := range connections {
		c := &client{address: f.machines[n%2].address(outboundPort), record: rec}
		defer c.close()
		clients = append(clients, c)
		for k := range 2 {
			o, _ := c.send("PUT", "/stock/1", fmt.Sprintf("before-%d-%d", n, k), 5*time.Second, "body")
			sent++
			if o.status == 200 {
				before++
			}
		}
	}
	if trouble {
		f.store.putConfig(12, services, usualLimits(), stock)
		rec.add("operator: version 12 with maxHeaderBytes 16384 in place of 4096, acknowledged")
	}
	time.Sleep(inTouch)
	old := 0
	for k := range 3 {
		for n, c := range clients {
			o, kept := c.send("PUT", "/stock/1", fmt.Sprintf("after-%d-%d", n, k), 5*time.Second, "body", "X-Note: "+strings.Repeat("y", 6000))
			sent++
			if o.status == http.StatusRequestHeaderFieldsTooLarge {
				old++
			}
			if o.status == 0 && kept {
				rec.add("client: %s was not answered", o.id)
			}
		}
	}
	if before < connections {
		return notShown, fmt.Errorf("only %d requests were answered before the change", before)
	}
	return conclude(rec, float64(old) > 5+float64(sent)/500, "%d of %d requests got 431 later than configApplyS after the acknowledgement of a version that allows them (DENIED: more than 5 + one in 500)", old, sent)
}

const (
	// valueBytes is the longest value of an item, as in the settings.
	valueBytes = 1 << 20
	// largeEntries is the number of entries that another writer leaves.
	largeEntries = 5
	// configApply is configApplyS of the settings.
	configApply = 2 * time.Second
)

// largeEntry: another writer leaves a few entries of bytes that can't be read, each of them as long as a
// value may be. A second later the operator moves a route to another service.
func largeEntry(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, 20*time.Millisecond, "vitrina", "bodega", "taller")
	if err != nil {
		return notShown, err
	}
	defer f.stop()
	services := []string{"vitrina", "bodega", "taller"}
	put := func(version int, service string) {
		f.store.putConfig(version, services, usualLimits(), route{"stock", "/stock/", "unsafe", service, 4, 1, 0, 2})
		rec.add("operator: version %d with /stock/ to %s acknowledged", version, service)
	}
	put(7, "bodega")
	if err := f.start(); err != nil {
		return notShown, err
	}
	time.Sleep(inTouch)
	if trouble {
		for n := range largeEntries {
			value := make([]byte, valueBytes)
			for i := range value {
				value[i] = byte(rand.IntN(256))
			}
			f.store.putBytes(fmt.Sprint("servers/odd-", n), value)
		}
		rec.add("another writer: %d entries servers/odd-N of %d bytes that can't be read", largeEntries, valueBytes)
	}
	time.Sleep(time.Second)
	put(12, "vitrina")
	acknowledged := time.Now()
	sent, late, old, served := 0, 0, 0, 0
	lastOld := time.Duration(0)
	for time.Since(acknowledged) < 25*time.Second {
		c := &client{address: f.machines[sent%len(f.machines)].address(outboundPort), record: rec}
		o, _ := c.send("PUT", "/stock/1", fmt.Sprint("stock-", sent), 5*time.Second, "body")
		c.close()
		sent++
		if o.status == http.StatusOK {
			served++
		}
		if after := o.sent.Sub(acknowledged); after > configApply {
			late++
			if f.machines[1].upstream.ran(o.id) {
				old++
				lastOld = after
			}
		}
		time.Sleep(70 * time.Millisecond)
	}
	if served < 50 {
		return notShown, fmt.Errorf("only %d of %d requests were served", served, sent)
	}
	return conclude(rec, old > 0, "%d of %d requests sent later than configApplyS after the acknowledgement were run by the old service (any breaks CONFIG), the last one %.1f s after it",
		old, late, lastOld.Seconds())
}
