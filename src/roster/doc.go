// Package roster is cluster membership and failure detection with SWIM: it keeps the list of members that are alive,
// suspect, leaving or dead. Core is the state machine without I/O; Node runs it on a UDP socket.
//
// Each member pings others in turn, directly and then through other members, and suspects those that do not answer.
// Datagrams (wire.Probe) also carry changes as gossip: the description of a new member (wire.Member), or else a brief
// (wire.Brief), which holds its ID, incarnation, state and readiness. Exchanges over links are the anti-entropy that
// repairs what gossip missed. Seed records in the store list members of each failure domain to join through. A lost
// member is one whose address is known and that was declared dead without announcing its own death or being replaced at
// that address.
package roster
