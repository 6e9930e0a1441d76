package link

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Large answers to several peers, as of a configuration, must leave at the rate of the network
// connection and before bodies. All at once in its buffers, they held up small frames for seconds.
func TestSendMessagePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answers, size = 8, 90_000
		c := qt.New(t)
		l := newSendLimiter(lowBandwidth)
		start := time.Now()
		var mu sync.Mutex
		var wg, writers sync.WaitGroup
		written, messagesEnded := 0, time.Duration(0)
		var queues []*sendQueue
		for range answers {
			q := &sendQueue{limiter: l}
			q.init()
			queues = append(queues, q)
			writers.Go(func() { // a writer whose network connection takes everything at once
				for batch := q.nextBatch(nil); len(batch) > 0; batch = q.nextBatch(batch) {
					mu.Lock()
					written += len(batch)
					allowed := l.rate*time.Since(start).Seconds() + l.burst + 2*chunkSize
					c.Check(float64(written) <= allowed, qt.IsTrue, qt.Commentf("%d bytes after %s", written, time.Since(start)))
					mu.Unlock()
				}
			})
			wg.Go(func() {
				f := q.newMessageFlow()
				for sent := 0; sent < size; sent += chunkSize {
					c.Check(q.sendMessage(f, make([]byte, chunkSize)), qt.IsNil)
				}
				mu.Lock()
				defer mu.Unlock()
				messagesEnded = max(messagesEnded, time.Since(start))
			})
		}
		wg.Go(func() {
			sendBodies(l, answers*size, map[string]*sendFlow{"body": {objective: time.Now().Add(time.Minute)}})
		})
		wg.Wait()
		frames := float64(answers * (size + chunkSize - 1) / chunkSize * chunkSize)
		c.Check(messagesEnded <= l.duration(int64(frames))+100*time.Millisecond, qt.IsTrue, qt.Commentf("%s", messagesEnded))
		for _, q := range queues {
			q.fail(errPoolKilled)
		}
		writers.Wait()
	})
}

// A link that ends while a message waits for its previous frame: its sender must not wait for ever,
// and with it the stop of the Pool.
func TestSendMessageEndsWithLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &sendQueue{}
		q.init()
		f, sent := q.newMessageFlow(), make(chan error, 1)
		qt.Assert(t, q.sendMessage(f, make([]byte, chunkSize)), qt.IsNil)
		go func() { sent <- q.sendMessage(f, make([]byte, chunkSize)) }()
		synctest.Wait()
		q.fail(errPoolKilled)
		qt.Check(t, <-sent, qt.Equals, errPoolKilled)
	})
}
