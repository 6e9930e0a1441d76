package link

import (
	"sync"

	"github.com/tinylib/msgp/msgp"

	"github.com/yuccaport/yuccaport/src/wire"
)

// sendQueue queues the outgoing frames of a link with two priorities: heads, control frames, and short body parts and message frames are urgent and are sent before bulk data.
type sendQueue struct {
	mu           sync.Mutex
	hasFrames    sync.Cond    // signalled when a frame is queued, or the link ends
	urgentRoom   sync.Cond    // signalled when the writer has taken urgent frames, or a flow or the link ends
	urgent       []byte       // encoded frames
	bulk         []bulkFrame  // at most one per flow, so that calls take turns
	urgentQueued uint64       // urgent bytes queued since the link was opened
	urgentTaken  uint64       // urgent bytes taken by the writer, which may have reached the peer
	taken        int64        // bytes taken by the writer
	sentAnswers  []sentAnswer // not known to be acknowledged, oldest first
	err          error
	limiter      *sendLimiter // of the network connection; nil for no limit
}

// bulkFrame is an encoded frame of bulk data.
type bulkFrame struct {
	data     []byte
	sendFlow *sendFlow
	buf      *[]byte // backing array of data if it comes from frameBuffers, otherwise nil
}

// frameBuffers holds unused buffers of bulk frames.
var frameBuffers = sync.Pool{New: func() any { return new([]byte) }}

func (q *sendQueue) init() {
	q.urgentRoom.L = &q.mu
	q.hasFrames.L = &q.mu
}

// sendControl queues a small frame and returns its size. It returns false if the peer has left too many urgent bytes unread.
func (q *sendQueue) sendControl(k wire.FrameKind, m msgp.Marshaler) (int, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil {
		return 0, true
	}
	if len(q.urgent) > maxUrgentBytes {
		return 0, false
	}
	before := q.urgentQueued
	end := q.pushUrgent(k, m)
	q.hasFrames.Signal()
	return int(end - before), true
}

// pushUrgent queues an urgent frame and returns the position of its end in the stream of urgent bytes; q.mu must be held.
func (q *sendQueue) pushUrgent(k wire.FrameKind, m msgp.Marshaler) uint64 {
	before := len(q.urgent)
	q.urgent = appendFrame(q.urgent, k, m)
	q.urgentQueued += uint64(len(q.urgent) - before)
	q.limiter.charge(len(q.urgent) - before)
	return q.urgentQueued
}

// pushHead queues the head of a call or answer and returns its end like pushUrgent, or an error if it does not fit into one frame; q.mu must be held.
func (q *sendQueue) pushHead(k wire.FrameKind, m msgp.Marshaler) (uint64, error) {
	before := len(q.urgent)
	end := q.pushUrgent(k, m)
	if size := len(q.urgent) - before - lengthSize; size > maxFrameSize {
		q.urgent = q.urgent[:before]
		q.urgentQueued = end - uint64(size) - lengthSize
		return 0, errHeadTooLarge
	}
	return end, nil
}

// awaitUrgentRoom waits until few urgent bytes are queued, or the link or f has ended; q.mu must be held.
func (q *sendQueue) awaitUrgentRoom(f *sendFlow) error {
	for q.err == nil && f.err == nil && len(q.urgent) > urgentHighWater {
		q.urgentRoom.Wait()
	}
	return q.sendError(f)
}

// sendError returns why frames of f can no longer be sent, or nil.
func (q *sendQueue) sendError(f *sendFlow) error {
	if q.err != nil {
		return q.err
	}
	return f.err
}

// sendData queues p as data of a call. It waits for credit, for the previous bulk frame of the call to be taken and, with a long body, for the limiter.
func (q *sendQueue) sendData(f *sendFlow, call uint64, p []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(p) > 0 {
		for q.sendError(f) == nil && (f.frameQueued || f.credit == 0) {
			f.ready.Wait()
		}
		if err := q.sendError(f); err != nil {
			return err
		}
		n := min(len(p), f.credit, q.limiter.chunk())
		f.credit -= n
		if f.long {
			q.mu.Unlock()
			q.limiter.acquire(f, n)
			q.mu.Lock()
			if err := q.sendError(f); err != nil {
				return err
			}
		} else {
			q.limiter.charge(n)
		}
		q.pushData(f, call, p[:n])
		f.sent += int64(n)
		p = p[n:]
	}
	return nil
}

// pushData queues one data frame, a short one with the urgent frames unless urgentHighWater is reached; q.mu must be held.
func (q *sendQueue) pushData(f *sendFlow, call uint64, p []byte) {
	q.hasFrames.Signal()
	if len(p) <= maxUrgentPayload && len(q.urgent) < urgentHighWater {
		before := len(q.urgent)
		q.urgent = appendData(q.urgent, call, p)
		q.urgentQueued += uint64(len(q.urgent) - before)
		return
	}
	f.frameQueued = true
	buf := frameBuffers.Get().(*[]byte)
	*buf = appendData((*buf)[:0], call, p)
	q.bulk = append(q.bulk, bulkFrame{data: *buf, sendFlow: f, buf: buf})
}

// sendEnd queues the end frame of a body after its last data frame.
func (q *sendQueue) sendEnd(f *sendFlow, call uint64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.sendError(f) == nil && f.frameQueued {
		f.ready.Wait()
	}
	if err := q.sendError(f); err != nil {
		return err
	}
	q.pushUrgent(wire.FrameEnd, &wire.EndFrame{Call: call})
	q.hasFrames.Signal()
	return nil
}

// addCredit adds credit granted by the peer. It returns false if the sum exceeds maxWindow.
func (q *sendQueue) addCredit(f *sendFlow, add uint32) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if int64(f.credit)+int64(add) > maxWindow {
		return false
	}
	f.credit += int(add)
	f.ready.Signal()
	return true
}

// stopFlow ends the sending of a body with an error.
func (q *sendQueue) stopFlow(f *sendFlow, err error) {
	q.mu.Lock()
	if f.err == nil {
		f.err = err
	}
	q.mu.Unlock()
	q.limiter.finish(f)
	f.ready.Broadcast()
	q.urgentRoom.Broadcast()
}

// close ends the sending of further frames; the writer still takes those that are queued.
func (q *sendQueue) close(err error) {
	q.mu.Lock()
	q.closeLocked(err)
	q.mu.Unlock()
}

// fail does as close and drops the queued frames.
func (q *sendQueue) fail(err error) {
	q.mu.Lock()
	dropped := q.bulk
	q.urgent, q.bulk = nil, nil
	q.closeLocked(err)
	for _, b := range dropped { // their senders wait until they are taken
		b.sendFlow.frameQueued = false
		b.sendFlow.ready.Broadcast()
	}
	q.mu.Unlock()
}

// closeLocked records why no more frames are queued; q.mu must be held.
func (q *sendQueue) closeLocked(err error) {
	if q.err == nil {
		q.err = err
	}
	q.urgentRoom.Broadcast()
	q.hasFrames.Broadcast()
}

// nextBatch waits for frames and moves them into batch. It returns an empty batch when the writer must end.
func (q *sendQueue) nextBatch(batch []byte) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.err == nil && len(q.urgent) == 0 && len(q.bulk) == 0 {
		q.hasFrames.Wait()
	}
	if len(q.urgent) == 0 && len(q.bulk) == 0 {
		return nil
	}
	batch = append(batch[:0], q.urgent...)
	q.urgent = resetBuffer(q.urgent)
	q.urgentTaken = q.urgentQueued
	n := 0
	for n < len(q.bulk) && len(batch) < batchSize {
		batch = append(batch, q.bulk[n].data...)
		if q.bulk[n].buf != nil {
			frameBuffers.Put(q.bulk[n].buf)
		}
		q.bulk[n].sendFlow.frameQueued = false
		q.bulk[n].sendFlow.ready.Signal()
		n++
	}
	q.bulk = append(q.bulk[:0], q.bulk[n:]...)
	q.noteTaken(len(batch))
	q.urgentRoom.Broadcast()
	return batch
}

// resetBuffer empties b, or drops it if it is too large to be kept.
func resetBuffer(b []byte) []byte {
	if cap(b) > batchSize {
		return nil
	}
	return b[:0]
}

// sendMessage queues one frame of a control message or of its answer, a short one with the urgent
// frames unless urgentHighWater is reached, any other as bulk data. It waits until the previous
// bulk frame of f is taken and, with a long frame, for the limiter: frames of several large answers
// would otherwise fill the buffers of the network connection, and small frames wait behind them
// there. Messages need no credit.
func (q *sendQueue) sendMessage(f *sendFlow, frame []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.sendError(f) == nil && f.frameQueued {
		f.ready.Wait()
	}
	if err := q.sendError(f); err != nil {
		return err
	}
	if len(frame) > maxUrgentPayload {
		q.mu.Unlock()
		q.limiter.acquire(f, len(frame))
		q.mu.Lock()
		if err := q.sendError(f); err != nil {
			return err
		}
	} else {
		q.limiter.charge(len(frame))
	}
	if len(frame) <= maxUrgentPayload && len(q.urgent) < urgentHighWater {
		q.urgent = append(q.urgent, frame...)
		q.urgentQueued += uint64(len(frame))
	} else {
		f.frameQueued = true
		q.bulk = append(q.bulk, bulkFrame{data: frame, sendFlow: f})
	}
	q.hasFrames.Signal()
	return nil
}
