package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"pineport/testbed/scripted"
	"pineport/testbed/stall"
)

// interruptibleDiscovery passes calls on to the discovery of a world. While it is down, it answers 503, and calls that were open
// as it went down end so too.
type interruptibleDiscovery struct {
	proxy  *httputil.ReverseProxy
	mu     sync.Mutex
	down   bool
	closed chan struct{} // closed as it goes down
}

func newInterruptibleDiscovery(address string) *interruptibleDiscovery {
	d := &interruptibleDiscovery{proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address}), closed: make(chan struct{})}
	d.proxy.ErrorHandler = func(rw http.ResponseWriter, _ *http.Request, _ error) { rw.WriteHeader(http.StatusServiceUnavailable) }
	return d
}

func (d *interruptibleDiscovery) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	down, closed := d.down, d.closed
	d.mu.Unlock()
	if down {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answered := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		d.proxy.ServeHTTP(answered, r)
		close(done)
	}()
	select {
	case <-closed:
		rw.WriteHeader(http.StatusServiceUnavailable)
	case <-done:
		rw.WriteHeader(answered.Code)
		rw.Write(answered.Body.Bytes())
	}
}

// setDown ends all open calls and refuses new ones, until setUp.
func (d *interruptibleDiscovery) setDown() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = true
	close(d.closed)
}

func (d *interruptibleDiscovery) setUp() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.closed = false, make(chan struct{})
}

// TestDrainDuringOutageOfDiscoveryIsHeeded guards against calls to an endpoint that drained while discovery was down, more than 500 ms after
// discovery has returned and can tell it, where lists are pushed: couriers asked again up to 1.8 s later.
func TestDrainDuringOutageOfDiscoveryIsHeeded(t *testing.T) {
	const (
		couriers      = 6
		messagePeriod = 50 * time.Millisecond
		outageTime    = 5 * time.Second
		observedTime  = 3 * time.Second
		drainGrace    = 500 * time.Millisecond
		socketSlack   = 50 * time.Millisecond
	)
	world, err := scripted.Open(1, func(string) scripted.Response { return scripted.Response{Status: 200} })
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	discovery := newInterruptibleDiscovery(world.Discovery)
	front := httptest.NewServer(discovery)
	defer front.Close()
	world.Discovery = strings.TrimPrefix(front.URL, "http://")
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range couriers {
		c := newCourier(t, world)
		c.replaceInConfig(`"subscribe"`, `"automatic"`, `"n0"`, fmt.Sprintf(`"n%d"`, i), `"seed": "8c1f30d27a5be964"`, fmt.Sprintf(`"seed": "%016x"`, i+1))
		c.start()
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(messagePeriod):
					c.send(encodeEnqueue(fmt.Sprintf("message-%d-%d", i, n), "update", 2000))
				}
			}
		})
	}
	time.Sleep(time.Second)
	stopMeasuring := stall.Measure()
	discovery.setDown()
	time.Sleep(outageTime)
	world.Drain(0)
	if calls := world.Calls(0); calls == 0 {
		t.Error("the endpoint got no calls before it drained")
	}
	discovery.setUp()
	time.Sleep(drainGrace + socketSlack)
	time.Sleep(stopMeasuring())
	before := world.Calls(0)
	time.Sleep(observedTime)
	if late := world.Calls(0) - before; late > 0 {
		t.Errorf("%d calls came more than %v after discovery could tell of the drain", late, drainGrace+socketSlack)
	}
	close(stop)
	clients.Wait()
}
