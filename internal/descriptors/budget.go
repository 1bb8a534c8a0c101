// Package descriptors divides a process's file descriptors between those that need them, so that no user can take what
// another one must have: clients may fill their share and no more.
package descriptors

const (
	// baseRuntime is what the program holds without any connection: standard streams, the poller's two, the clients'
	// listening socket, and three files that are open for a moment (configuration, snapshot, readings of /proc).
	baseRuntime = 9
	// webSocketRuntime is the second front's listening socket.
	webSocketRuntime = 1
	// operatorsRuntime is the operators' listening socket, and the locks that watch for another process at the same address.
	operatorsRuntime = 4
	// controlRuntime is the control socket with its connections, storeRuntime the database's files or connection.
	controlRuntime, storeRuntime = 9, 8
	// releasesRuntime is the connection to a configuration server, the one that replaces it, and the file of the release.
	releasesRuntime = 3
	// discoveryShare is three connects that hang beside each other, and the stream before that is being closed.
	discoveryShare = 4
	// minOperators and maxOperators bound the operators' connections; one in operatorsDivisor of the limit is theirs, in an
	// upgrade of each process.
	minOperators, maxOperators, operatorsDivisor = 6, 16, 16
	// connectionsPerServer is one connection in use and one that replaces it; spareServers is room for those of servers
	// that have just left the list.
	connectionsPerServer, spareServers = 2, 4
	// connectionsPerPeer is a member's own stream and the membership library's; peersDivisor bounds them all by the limit.
	connectionsPerPeer, peersDivisor = 2, 4
	// clientsDivisor is the part of the limit that is always the clients': honest ones hold no more than a third.
	clientsDivisor = 3
	// partingDivisor is the part of a front's places that connections keep which make room for others and end in order.
	partingDivisor = 8
	// acceptedSpare is the connection that has been accepted and not been judged yet, and one that is being closed.
	acceptedSpare = 2
	// webSocketShare of webSocketOf is the WebSocket front's part of the clients' share.
	webSocketShare, webSocketOf = 3, 7
)

// Demand is what a budget is made for.
type Demand struct {
	Limit     int  // descriptors that the processes at this address may hold together
	Upgrade   bool // another process is there: each has half
	Servers   int  // on the list
	Peers     int  // other members of the fleet; 0: none is talked to
	Operators bool // there is an operators' address
	WebSocket bool // there is a WebSocket front
	Control   bool // there is a control socket
	Store     bool // calls are recorded
	Releases  bool // configuration releases are followed
}

// Budget is the share of each user. The shares add up to Total, which is the limit or this process's half of it.
type Budget struct {
	Total     int
	Runtime   int
	Discovery int
	Operators int // with the one that waits for a place
	Peers     int
	Servers   int
	Clients   FrontShare
	WebSocket FrontShare
}

// Front is the share of one front for clients.
type FrontShare struct {
	Descriptors    int // held at once, whatever state their connections are in
	MaxConnections int // connections in use; the rest is for those that end, and the one just accepted
}

// Plan makes the budget. What the servers need beyond their floor comes from the clients, down to a third of all; servers
// beyond that go without a connection until another one ends.
func Plan(d Demand) Budget {
	b := Budget{Total: d.Limit, Runtime: d.runtime(), Discovery: discoveryShare}
	if d.Upgrade {
		b.Total /= 2
	}
	if d.Operators {
		b.Operators = min(max(d.Limit/operatorsDivisor, minOperators), maxOperators) + 1
	}
	if d.Peers > 0 {
		b.Peers = min(connectionsPerPeer*d.Peers, b.Total/peersDivisor)
	}
	left := max(b.Total-b.Runtime-b.Discovery-b.Operators-b.Peers, 2)
	b.Servers = min(connectionsPerServer*d.Servers+spareServers, max(left-b.Total/clientsDivisor, left/2))
	clients := left - b.Servers
	if d.WebSocket {
		b.WebSocket = webSocketFront(clients * webSocketShare / webSocketOf)
	}
	b.Clients = clientsFront(clients - b.WebSocket.Descriptors)
	return b
}

func (d Demand) runtime() int {
	n := baseRuntime
	if d.WebSocket {
		n += webSocketRuntime
	}
	if d.Operators {
		n += operatorsRuntime
	}
	if d.Control {
		n += controlRuntime
	}
	if d.Store {
		n += storeRuntime
	}
	if d.Releases {
		n += releasesRuntime
	}
	return n
}

// clientsFront keeps room for connections that end in order.
func clientsFront(descriptors int) FrontShare {
	places := (descriptors - acceptedSpare) * partingDivisor / (partingDivisor + 1)
	return FrontShare{Descriptors: descriptors, MaxConnections: max(places, 1)}
}

// webSocketFront closes at once what makes room.
func webSocketFront(descriptors int) FrontShare {
	return FrontShare{Descriptors: descriptors, MaxConnections: max(descriptors-acceptedSpare, 1)}
}
