package link

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"

	"github.com/yuccaport/yuccaport/src/wire"
)

// sendControl queues a small frame. It closes the link if the peer leaves too many of them unread.
func (c *connection) sendControl(k wire.FrameKind, m msgp.Marshaler) {
	n, ok := c.queue.sendControl(k, m)
	if !ok {
		c.fail(protocolError(c.peer.Addr.String(), fmt.Sprintf("more than %d bytes of heads and control frames wait for the peer to read", maxUrgentBytes)))
		return
	}
	c.pool.countBytes(k, directionSent, n)
}

// receive handles one frame. An error closes the link.
func (c *connection) receive(k wire.FrameKind, body []byte) error {
	c.pool.countBytes(k, directionReceived, len(body)+headerSize)
	switch k {
	case wire.FramePing:
		var f wire.PingFrame
		if err := decode(&f, body); err != nil {
			return err
		}
		c.sendControl(wire.FramePong, &wire.PongFrame{Nonce: f.Nonce})
		return nil
	case wire.FramePong:
		return decode(&wire.PongFrame{}, body)
	case wire.FrameData:
		var f wire.DataFrame
		if err := decode(&f, body); err != nil {
			return err
		}
		return c.receiveData(f)
	case wire.FrameEnd:
		var f wire.EndFrame
		if err := decode(&f, body); err != nil {
			return err
		}
		return c.receiveEnd(f)
	case wire.FrameWindow:
		var f wire.WindowFrame
		if err := decode(&f, body); err != nil {
			return err
		}
		return c.receiveWindow(f)
	}
	if c.dialed {
		return c.receiveAsDialer(k, body)
	}
	return c.receiveAsAcceptor(k, body)
}

// receiveAsDialer handles the frames that only an accepting end sends.
func (c *connection) receiveAsDialer(k wire.FrameKind, body []byte) error {
	switch k {
	case wire.FrameReply:
		var f wire.ReplyFrame
		if err := decode(&f, body); err != nil {
			return err
		}
		return c.receiveReply(f)
	case wire.FrameRefuse:
		var f wire.RefuseFrame
		if err := decode(&f, body); err != nil {
			return err
		}
		return c.receiveRefuse(f)
	case wire.FrameDoubt:
		var f wire.DoubtFrame
		if err := decode(&f, body); err != nil {
			return err
		}
		return c.receiveDoubt(f)
	case wire.FrameAnswer:
		var f wire.AnswerFrame
		if err := decode(&f, body); err != nil {
			return err
		}
		return c.receiveAnswer(f)
	case wire.FrameGoaway:
		var f wire.GoawayFrame
		if err := decode(&f, body); err != nil {
			return err
		}
		c.receiveGoaway(f)
		return nil
	}
	return c.unexpectedFrame(k)
}

// receiveAsAcceptor handles the frames that only a dialling end sends.
func (c *connection) receiveAsAcceptor(k wire.FrameKind, body []byte) error {
	switch k {
	case wire.FrameOpen:
		var f wire.OpenFrame
		if err := decode(&f, body); err != nil {
			return err
		}
		return c.receiveOpen(f)
	case wire.FrameCancel:
		var f wire.CancelFrame
		if err := decode(&f, body); err != nil {
			return err
		}
		c.receiveCancel(f)
		return nil
	case wire.FrameMessage:
		var f wire.MessageFrame
		if err := decode(&f, body); err != nil {
			return err
		}
		return c.receiveMessage(f)
	}
	return c.unexpectedFrame(k)
}

func (c *connection) unexpectedFrame(k wire.FrameKind) error {
	return protocolError(c.peer.Addr.String(), fmt.Sprintf("unexpected frame kind %d", k))
}

func decode(m msgp.Unmarshaler, body []byte) error {
	rest, err := m.UnmarshalMsg(body)
	if err != nil {
		return protocolError("frame", err.Error())
	}
	if len(rest) > 0 {
		return protocolError("frame", fmt.Sprintf("%d bytes after its body", len(rest)))
	}
	return nil
}

// findBody returns the receive buffer and the send flow of a call in progress. The buffer is nil before the head of an answer. Both are nil if the call has ended or was opened after the goaway frame, so that its frames are dropped.
func (c *connection) findBody(id uint64) (*recvBuffer, *sendFlow, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id > c.lastID && c.closing && !c.dialed {
		return nil, nil, nil // its open frame has crossed the goaway frame
	}
	if id == 0 || id > c.lastID {
		return nil, nil, protocolError(c.peer.Addr.String(), fmt.Sprintf("call %d was not opened", id))
	}
	if o, ok := c.outboundCalls[id]; ok {
		if !o.replied {
			return nil, o.sendFlow, nil
		}
		return o.recvBuffer, o.sendFlow, nil
	}
	if in, ok := c.inboundCalls[id]; ok {
		return in.recvBuffer, in.sendFlow, nil
	}
	return nil, nil, nil // the call has ended
}

func (c *connection) receiveData(f wire.DataFrame) error {
	b, flow, err := c.findBody(f.Call)
	if err != nil {
		return err
	}
	if b == nil {
		if flow != nil {
			return protocolError(c.peer.Addr.String(), fmt.Sprintf("data of call %d before the head of its answer", f.Call))
		}
		return nil
	}
	if !b.put(f.Bytes) {
		return protocolError(c.peer.Addr.String(), fmt.Sprintf("data of call %d exceeds its window", f.Call))
	}
	return nil
}

func (c *connection) receiveEnd(f wire.EndFrame) error {
	b, flow, err := c.findBody(f.Call)
	if err != nil {
		return err
	}
	if b == nil {
		if flow != nil {
			return protocolError(c.peer.Addr.String(), fmt.Sprintf("end of call %d before the head of its answer", f.Call))
		}
		return nil
	}
	b.finish()
	if c.dialed {
		c.finishCall(f.Call)
	}
	return nil
}

func (c *connection) receiveWindow(f wire.WindowFrame) error {
	_, flow, err := c.findBody(f.Call)
	if err != nil || flow == nil {
		return err
	}
	if !c.queue.addCredit(flow, f.Add) {
		return protocolError(c.peer.Addr.String(), fmt.Sprintf("credit of call %d exceeds %d bytes", f.Call, maxWindow))
	}
	return nil
}
