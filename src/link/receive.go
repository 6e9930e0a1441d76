package link

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"

	"github.com/yuccaport/yuccaport/src/wire"
)

// control queues a small frame and closes the link when the other end does not read.
func (c *connection) control(k wire.FrameKind, m msgp.Marshaler) {
	n, ok := c.out.control(k, m)
	if !ok {
		c.fail(protocolError(c.peer.Addr.String(), fmt.Sprintf("over %d bytes of control frames wait to be read", maxUrgent)))
		return
	}
	c.pool.countBytes(k, sent, n)
}

// receive handles one frame; an error closes the link.
func (c *connection) receive(k wire.FrameKind, body []byte) error {
	c.pool.countBytes(k, received, len(body)+headerSize)
	switch k {
	case wire.FramePing:
		var f wire.PingFrame
		if err := decode(&f, body); err != nil {
			return err
		}
		c.control(wire.FramePong, &wire.PongFrame{Nonce: f.Nonce})
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
		return c.receiveDialed(k, body)
	}
	return c.receiveAccepted(k, body)
}

// receiveDialed handles the frames that only an accepting end sends.
func (c *connection) receiveDialed(k wire.FrameKind, body []byte) error {
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
	return c.unexpected(k)
}

// receiveAccepted handles the frames that only a dialling end sends.
func (c *connection) receiveAccepted(k wire.FrameKind, body []byte) error {
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
	return c.unexpected(k)
}

func (c *connection) unexpected(k wire.FrameKind) error {
	return protocolError(c.peer.Addr.String(), fmt.Sprintf("frame kind %d does not belong here", k))
}

func decode(m msgp.Unmarshaler, body []byte) error {
	rest, err := m.UnmarshalMsg(body)
	if err != nil {
		return protocolError("frame", err.Error())
	}
	if len(rest) > 0 {
		return protocolError("frame", fmt.Sprintf("%d bytes follow its body", len(rest)))
	}
	return nil
}

// bodyOf returns the inbox and flow of a call that is under way.
func (c *connection) bodyOf(id uint64) (*inbox, *flow, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id == 0 || id > c.lastID {
		return nil, nil, protocolError(c.peer.Addr.String(), fmt.Sprintf("call %d was never opened", id))
	}
	if o, ok := c.outgoing[id]; ok {
		if !o.replied {
			return nil, o.flow, nil
		}
		return o.inbox, o.flow, nil
	}
	if in, ok := c.inbound[id]; ok {
		return in.inbox, in.flow, nil
	}
	return nil, nil, nil // given up or refused: late frames are dropped
}

func (c *connection) receiveData(f wire.DataFrame) error {
	b, fl, err := c.bodyOf(f.Call)
	if err != nil {
		return err
	}
	if b == nil {
		if fl != nil {
			return protocolError(c.peer.Addr.String(), fmt.Sprintf("data of call %d before its head", f.Call))
		}
		return nil
	}
	if !b.put(f.Bytes) {
		return protocolError(c.peer.Addr.String(), fmt.Sprintf("call %d sent more than its window", f.Call))
	}
	return nil
}

func (c *connection) receiveEnd(f wire.EndFrame) error {
	b, fl, err := c.bodyOf(f.Call)
	if err != nil {
		return err
	}
	if b == nil {
		if fl != nil {
			return protocolError(c.peer.Addr.String(), fmt.Sprintf("end of call %d before its head", f.Call))
		}
		return nil
	}
	b.finish()
	if c.dialed {
		c.ended(f.Call)
	}
	return nil
}

func (c *connection) receiveWindow(f wire.WindowFrame) error {
	_, fl, err := c.bodyOf(f.Call)
	if err != nil || fl == nil {
		return err
	}
	if !c.out.grant(fl, f.Add) {
		return protocolError(c.peer.Addr.String(), fmt.Sprintf("call %d was granted more than %d bytes", f.Call, maxWindow))
	}
	return nil
}
