package revision

import (
	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// peer is the state of another entry.
type peer struct {
	id          domain.EntryID
	up          bool               // connected
	revision    domain.Revision    // revision that the peer reported last
	receivedAt  domain.Instant     // time of the last message from the peer
	heartbeatAt domain.Instant     // time of the last heartbeat to the peer
	assembler   declaration.Joiner // of documents that the peer sends in parts
}

// documentsRequest is the latest request for documents to a peer.
type documentsRequest struct {
	pending      bool
	lastActivity domain.Instant // time of the request or of the last part received
	peer         domain.EntryID
}

func (c *Core) handlePeerUp(now domain.Instant, in PeerUp) {
	p, ok := c.peers.get(in.Peer)
	if !ok {
		p = &peer{id: in.Peer}
		c.peers.set(in.Peer, p)
	}
	p.up = true
	p.revision = in.Revision
	p.receivedAt = now
	p.assembler = declaration.Joiner{}
	c.sendHeartbeat(now, p)
}

func (c *Core) handlePeerDown(id domain.EntryID) {
	if p, ok := c.peers.get(id); ok {
		p.up = false
		c.removeUndeclared()
	}
}

func (c *Core) handlePeerMessage(now domain.Instant, in PeerMessage) {
	p, ok := c.peers.get(in.Peer)
	if !ok {
		return
	}
	p.receivedAt = now
	switch m := in.Message.GetKind().(type) {
	case *pb.ToPeer_Heartbeat:
		p.revision = domain.Revision(m.Heartbeat.GetRevision())
		c.addPeerOrders(m.Heartbeat.GetOrders())
	case *pb.ToPeer_DocumentsRequest:
		c.sendDocumentsToPeer(p, domain.Revision(m.DocumentsRequest.GetAfter()))
	case *pb.ToPeer_Documents:
		c.handleDocuments(now, p, m.Documents)
	}
}

// sendDocumentsToPeer brings a peer from a revision to the one in force.
func (c *Core) sendDocumentsToPeer(p *peer, after domain.Revision) {
	if after >= c.set.Revision() {
		return
	}
	for _, part := range c.documentsAfter(after) {
		c.sendPeer(p.id, &pb.ToPeer{Kind: &pb.ToPeer_Documents{Documents: part}})
	}
}

// handleDocuments processes one part of a delta or snapshot and installs it once
// all parts have arrived. The request is repeated only if no part arrives for
// documentsRetryInterval.
func (c *Core) handleDocuments(now domain.Instant, p *peer, part *pb.Documents) {
	p.revision = max(p.revision, domain.Revision(part.GetThrough()))
	c.documentsRequest.lastActivity = now
	joined, ok := p.assembler.Add(part)
	if !ok {
		return
	}
	c.documentsRequest.pending = false
	through := domain.Revision(joined.GetThrough())
	if joined.GetAfter() == 0 {
		c.installSnapshot(through, joined.GetDocuments())
		return
	}
	c.installDelta(domain.Revision(joined.GetAfter()), through, joined.GetDocuments())
}

// requestDocuments requests documents from the peer with the newest revision. If
// that peer does not answer, the next request goes to the next peer with the same
// revision, if any.
func (c *Core) requestDocuments(now domain.Instant) {
	if c.documentsRequest.pending && now.Sub(c.documentsRequest.lastActivity) < documentsRetryInterval {
		return
	}
	p := c.selectNewerPeer()
	c.documentsRequest = documentsRequest{}
	if p == nil {
		return
	}
	c.documentsRequest = documentsRequest{pending: true, lastActivity: now, peer: p.id}
	request := &pb.DocumentsRequest{After: uint64(c.set.Revision())}
	c.sendPeer(p.id, &pb.ToPeer{Kind: &pb.ToPeer_DocumentsRequest{DocumentsRequest: request}})
}

// selectNewerPeer returns the connected peer with the newest revision, or nil if
// none is newer than the set in force. Among several with the same revision it
// returns the next one in order of ID after the peer of the previous request.
func (c *Core) selectNewerPeer() *peer {
	var best *peer
	for _, p := range c.peers.all() {
		if !p.up || p.revision <= c.set.Revision() {
			continue
		}
		better := best == nil || p.revision > best.revision
		next := best != nil && p.revision == best.revision && best.id <= c.documentsRequest.peer && p.id > c.documentsRequest.peer
		if better || next {
			best = p
		}
	}
	return best
}

// sendHeartbeats sends the heartbeats that are due and reconnects peers that
// have not sent a message within the timeout.
func (c *Core) sendHeartbeats(now domain.Instant) {
	for _, p := range c.peers.all() {
		if !p.up {
			continue
		}
		if now.Sub(p.receivedAt) >= peerTimeout {
			p.up = false
			c.emit(ReconnectPeer{Peer: p.id})
			continue
		}
		if now.Sub(p.heartbeatAt) >= heartbeatInterval {
			c.sendHeartbeat(now, p)
		}
	}
}

// sendHeartbeat sends a peer the revision in force and the unrecorded orders.
func (c *Core) sendHeartbeat(now domain.Instant, p *peer) {
	p.heartbeatAt = now
	heartbeat := &pb.PeerHeartbeat{Revision: uint64(c.set.Revision()), Orders: c.unrecordedOrders()}
	c.sendPeer(p.id, &pb.ToPeer{Kind: &pb.ToPeer_Heartbeat{Heartbeat: heartbeat}})
}

// pushToPeers sends the changes after a revision to all connected peers.
func (c *Core) pushToPeers(after domain.Revision) {
	for _, p := range c.peers.all() {
		if p.up {
			c.sendDocumentsToPeer(p, after)
		}
	}
}
