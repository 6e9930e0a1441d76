package bench

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/yuccaport/yuccaport/src/daemon"
)

// usage is what a fleet has spent so far.
type usage struct {
	at            time.Time
	linkBytes     uint64 // of control messages, sent and received
	rosterBytes   uint64 // sent and received, with IP and UDP headers
	storeBytes    uint64 // at the store's sockets, both directions
	reads, writes uint64
	cpu           time.Duration // of this whole process, stand-ins included
}

func (u usage) controlBytes() uint64 { return u.linkBytes + u.rosterBytes + u.storeBytes }

func (u usage) minus(v usage) usage {
	return usage{
		linkBytes: u.linkBytes - v.linkBytes, rosterBytes: u.rosterBytes - v.rosterBytes, storeBytes: u.storeBytes - v.storeBytes,
		reads: u.reads - v.reads, writes: u.writes - v.writes, cpu: u.cpu - v.cpu,
	}
}

func usageOf(f *Fleet, daemons []*daemon.Daemon) usage {
	calls := f.Keyspace.Calls()
	u := usage{at: time.Now(), reads: calls.Reads, writes: calls.Writes, storeBytes: f.storeBytes.Load(), cpu: processorTime()}
	for _, d := range daemons {
		u.linkBytes += counter(d, `yuccaport_link_control_bytes_total{direction="sent"}`)
		u.linkBytes += counter(d, `yuccaport_link_control_bytes_total{direction="received"}`)
		u.rosterBytes += counter(d, "yuccaport_roster_sent_bytes_total")
		u.rosterBytes += counter(d, "yuccaport_roster_received_bytes_total")
	}
	return u
}

func counter(d *daemon.Daemon, name string) uint64 { return d.Metrics.GetOrCreateCounter(name).Get() }

func processorTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// residentBytes returns the memory that this process holds, 0 when the system does not tell.
func residentBytes() uint64 {
	b, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
