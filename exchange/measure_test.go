package exchange

import (
	"os"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hawthornpoint/hawthornpoint/configsource"
)

// TestMeasureControl measures the figures of docs/control.md, so that they can be
// reproduced. It asserts nothing; HAWTHORNPOINT_MEASURE=1 enables it.
func TestMeasureControl(t *testing.T) {
	if os.Getenv("HAWTHORNPOINT_MEASURE") != "1" {
		t.Skip("set HAWTHORNPOINT_MEASURE=1")
	}
	for _, size := range []int{100_000, 1_000_000} {
		e := newEnvelope(t, 1, size)
		began := time.Now()
		body, err := encode(e)
		if err != nil {
			t.Fatal(err)
		}
		encoded := time.Since(began)
		t.Logf("config_bytes=%d compressed_bytes=%d compress_ms=%.1f bytes_per_s_at_380_a_day: raw=%.0f compressed=%.0f", len(e.Body),
			len(body), encoded.Seconds()*1000, float64(len(e.Body))*380/86400, float64(len(body))*380/86400)
	}
	var sizes, cpu, heap []float64
	for _, n := range []int{12, 48, 144} {
		sent, cpuPerDaemon, bytes := measure(t, n, 8*time.Second)
		t.Logf("daemons=%d sent_bytes_s=%.0f received_bytes_s=%.0f cpu_percent_of_core=%.3f heap_kb=%.0f", n, sent, sent, cpuPerDaemon*100, bytes/1024)
		sizes, cpu, heap = append(sizes, float64(n)), append(cpu, cpuPerDaemon), append(heap, bytes)
	}
	t.Logf("slope per 100 daemons: cpu_percent_of_core=%+.3f heap_kb=%+.0f", slope(sizes, cpu)*100*100, slope(sizes, heap)*100/1024)
	// A negative slope is not extrapolated: it comes from costs that the endpoints of
	// one process share.
	t.Logf("daemons=720 extrapolated: cpu_percent_of_core=%.3f heap_kb=%.0f",
		(cpu[2]+max(0, slope(sizes, cpu))*(720-144))*100, (heap[2]+max(0, slope(sizes, heap))*(720-144))/1024)
	for _, n := range []int{12, 48, 144, 720} {
		t.Logf("daemons=%d platform_reads_s=%.0f of 2000, interval=%s", n, 2*float64(n)/configsource.Interval(n).Seconds(), configsource.Interval(n))
	}
}

// slope returns the slope of the least-squares line through the points.
func slope(x, y []float64) float64 {
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	n := float64(len(x))
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// measure runs n endpoints in real time and returns bytes sent and processor
// seconds, per daemon and second, and heap bytes per daemon.
func measure(t *testing.T, n int, length time.Duration) (sent, cpuPerDaemon, heap float64) {
	heapBefore := heapBytes()
	f := newFleet(t, n, time.Now)
	defer f.close()
	f.withList()
	f.offer(0, newEnvelope(t, 1, 100_000))
	stop := make(chan struct{})
	var tickers sync.WaitGroup
	for _, e := range f.endpoints {
		tickers.Go(func() { e.tickUntil(stop) })
	}
	time.Sleep(3 * time.Second) // the first exchanges and the configuration
	f.sent.Store(0)
	cpuBefore, began := processorTime(), time.Now()
	time.Sleep(length)
	daemonSeconds := time.Since(began).Seconds() * float64(n)
	sent, cpuPerDaemon = float64(f.sent.Load())/daemonSeconds, (processorTime()-cpuBefore).Seconds()/daemonSeconds
	heap = (heapBytes() - heapBefore) / float64(n)
	close(stop)
	tickers.Wait()
	return sent, cpuPerDaemon, heap
}

// tickUntil ticks as often as package daemon until stop is closed.
func (e *endpoint) tickUntil(stop chan struct{}) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			e.tick()
		}
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
