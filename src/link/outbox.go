package link

import (
	"sync"

	"github.com/tinylib/msgp/msgp"

	"github.com/yuccaport/yuccaport/src/wire"
)

// outbox queues the frames of a link in two lanes: heads and control frames go before bulk data.
type outbox struct {
	mu     sync.Mutex
	work   sync.Cond // the writer waits for frames
	room   sync.Cond // producers of heads wait for the urgent lane to empty
	urgent []byte
	bulk   []bulkFrame // each call has at most one, so calls take turns
	queued uint64      // urgent bytes queued since the link began
	handed uint64      // urgent bytes that may have reached the other end
	err    error
}

type bulkFrame struct {
	data []byte
	flow *flow
	buf  *[]byte // where data lies, when it goes back to frames
}

// frames holds the buffers of bulk frames.
var frames = sync.Pool{New: func() any { return new([]byte) }}

// flow is the sending side of one body.
type flow struct {
	credit int // bytes that the other end still takes
	queued bool
	err    error
	turn   sync.Cond // waits for credit, or for the queued frame to leave
}

func (o *outbox) newFlow() *flow {
	f := &flow{credit: initialWindow}
	f.turn.L = &o.mu
	return f
}

func (o *outbox) init() {
	o.room.L = &o.mu
	o.work.L = &o.mu
}

// control queues a small frame and returns its size; it tells false when the other end does not take what is queued for it.
func (o *outbox) control(k wire.FrameKind, m msgp.Marshaler) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return 0, true
	}
	if len(o.urgent) > maxUrgent {
		return 0, false
	}
	before := o.queued
	end := o.push(k, m)
	o.work.Signal()
	return int(end - before), true
}

// push queues an urgent frame and returns the position of its end; o.mu is held.
func (o *outbox) push(k wire.FrameKind, m msgp.Marshaler) uint64 {
	before := len(o.urgent)
	o.urgent = appendFrame(o.urgent, k, m)
	o.queued += uint64(len(o.urgent) - before)
	return o.queued
}

// head queues the head of a call or message, which must fit into a frame; o.mu is held.
func (o *outbox) head(k wire.FrameKind, m msgp.Marshaler) (uint64, error) {
	before := len(o.urgent)
	end := o.push(k, m)
	if size := len(o.urgent) - before - lengthSize; size > maxFrame {
		o.urgent = o.urgent[:before]
		o.queued = end - uint64(size) - lengthSize
		return 0, errOversize
	}
	return end, nil
}

// awaitRoom waits until urgent frames are few or f has ended; o.mu is held.
func (o *outbox) awaitRoom(f *flow) error {
	for o.err == nil && f.err == nil && len(o.urgent) > busyUrgent {
		o.room.Wait()
	}
	return o.failure(f)
}

func (o *outbox) failure(f *flow) error {
	if o.err != nil {
		return o.err
	}
	return f.err
}

// send queues p as data of a call, waiting for credit and for the call's turn.
func (o *outbox) send(f *flow, call uint64, p []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(p) > 0 {
		for o.failure(f) == nil && (f.queued || f.credit == 0) {
			f.turn.Wait()
		}
		if err := o.failure(f); err != nil {
			return err
		}
		n := min(len(p), f.credit, chunkSize)
		f.credit -= n
		o.data(f, call, p[:n])
		p = p[n:]
	}
	return nil
}

// data queues one data frame: the short ones with the heads, the others in turn; o.mu is held.
func (o *outbox) data(f *flow, call uint64, p []byte) {
	o.work.Signal()
	if len(p) <= inlineBody && len(o.urgent) < busyUrgent {
		before := len(o.urgent)
		o.urgent = appendData(o.urgent, call, p)
		o.queued += uint64(len(o.urgent) - before)
		return
	}
	f.queued = true
	buf := frames.Get().(*[]byte)
	*buf = appendData((*buf)[:0], call, p)
	o.bulk = append(o.bulk, bulkFrame{data: *buf, flow: f, buf: buf})
}

// end queues the end frame of a body after its last data.
func (o *outbox) end(f *flow, call uint64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.failure(f) == nil && f.queued {
		f.turn.Wait()
	}
	if err := o.failure(f); err != nil {
		return err
	}
	o.push(wire.FrameEnd, &wire.EndFrame{Call: call})
	o.work.Signal()
	return nil
}

// grant adds credit to a body; it tells false when the sum is beyond what a window can be.
func (o *outbox) grant(f *flow, add uint32) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if int64(f.credit)+int64(add) > maxWindow {
		return false
	}
	f.credit += int(add)
	f.turn.Signal()
	return true
}

// stop ends a body's sending.
func (o *outbox) stop(f *flow, err error) {
	o.mu.Lock()
	if f.err == nil {
		f.err = err
	}
	o.mu.Unlock()
	f.turn.Broadcast()
	o.room.Broadcast()
}

// fail ends all sending of heads and control frames; each flow is stopped by its call.
func (o *outbox) fail(err error) {
	o.mu.Lock()
	if o.err == nil {
		o.err = err
	}
	o.mu.Unlock()
	o.room.Broadcast()
	o.work.Broadcast()
}

// take waits for frames and moves them into batch; it returns nothing when the writer is to end.
func (o *outbox) take(batch []byte) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.err == nil && len(o.urgent) == 0 && len(o.bulk) == 0 {
		o.work.Wait()
	}
	if o.err != nil {
		return nil
	}
	batch = append(batch[:0], o.urgent...)
	o.urgent = shrink(o.urgent)
	o.handed = o.queued
	n := 0
	for n < len(o.bulk) && len(batch) < batchSize {
		batch = append(batch, o.bulk[n].data...)
		if o.bulk[n].buf != nil {
			frames.Put(o.bulk[n].buf)
		}
		o.bulk[n].flow.queued = false
		o.bulk[n].flow.turn.Signal()
		n++
	}
	o.bulk = append(o.bulk[:0], o.bulk[n:]...)
	o.room.Broadcast()
	return batch
}

func shrink(b []byte) []byte {
	if cap(b) > batchSize {
		return nil
	}
	return b[:0]
}

// message queues one frame of a control message or its answer in the bulk lane.
func (o *outbox) message(f *flow, frame []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.failure(f) == nil && f.queued {
		f.turn.Wait()
	}
	if err := o.failure(f); err != nil {
		return err
	}
	if len(frame) <= inlineBody && len(o.urgent) < busyUrgent {
		o.urgent = append(o.urgent, frame...)
		o.queued += uint64(len(frame))
	} else {
		f.queued = true
		o.bulk = append(o.bulk, bulkFrame{data: frame, flow: f})
	}
	o.work.Signal()
	return nil
}
