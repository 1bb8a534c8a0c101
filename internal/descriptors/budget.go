// Package descriptors divides a process's file descriptors among its users (clients, servers, peers, operators and
// others), so that none can take what another one needs: clients may use up their own share and no more.
package descriptors

const (
	// baseRuntime is what the program holds without any connection: the standard streams, two of the network poller, the
	// clients' listening socket, and three files that are open for short times (configuration, snapshot, readings of
	// /proc).
	baseRuntime = 9
	// webSocketRuntime is the WebSocket front's listening socket.
	webSocketRuntime = 1
	// operatorsRuntime is the operators' listening socket, and the locks that detect another process at the same address.
	operatorsRuntime = 4
	// controlRuntime is the control socket with its connections, storeRuntime the database's files or connection.
	controlRuntime, storeRuntime = 9, 8
	// releasesRuntime is the connection to a configuration server, the one that replaces it, and the file of the release.
	releasesRuntime = 3
	// discoveryShare is three pending connects at the same time, and the previous stream, which is being closed.
	discoveryShare = 4
	// minOperators and maxOperators bound the operators' connections. Their share is the limit divided by
	// operatorsDivisor, in an upgrade for each of the two processes.
	minOperators, maxOperators, operatorsDivisor = 6, 16, 16
	// connectionsPerServer is one connection in use and one that replaces it; spareServers is room for the connections of
	// servers that have just left the list.
	connectionsPerServer, spareServers = 2, 4
	// connectionsPerPeer is a member's own stream and the membership library's. Together the peers have no more than the
	// total divided by peersDivisor.
	connectionsPerPeer, peersDivisor = 2, 4
	// clientsDivisor sets the minimum share of the clients, the total divided by it: well-behaved clients need no more
	// than a third.
	clientsDivisor = 3
	// closingDivisor sets the room for connections that are being closed gracefully to make room for others: a front's
	// MaxConnections divided by it.
	closingDivisor = 8
	// acceptReserve is a connection that has been accepted but not admitted or refused yet, and one that is being closed.
	acceptReserve = 2
	// webSocketShare divided by webSocketOf is the part of the clients' share that goes to the WebSocket front.
	webSocketShare, webSocketOf = 3, 7
)

// Demand describes the process that a budget is planned for.
type Demand struct {
	Limit     int  // descriptors that the processes at this address may hold together
	Upgrade   bool // another process runs at this address: each has half
	Servers   int  // on the list
	Peers     int  // other members of the fleet; 0: no peer connections
	Operators bool // there is an operators' address
	WebSocket bool // there is a WebSocket front
	Control   bool // there is a control socket
	Store     bool // calls are recorded
	Releases  bool // configuration releases are followed
}

// Budget holds the share of each user. The shares add up to Total, which is the limit or this process's half of it.
type Budget struct {
	Total     int
	Runtime   int
	Discovery int
	Operators int // including one connection that waits to be admitted
	Peers     int
	Servers   int
	Clients   FrontShare
	WebSocket FrontShare
}

// Front is the share of one front for clients.
type FrontShare struct {
	Descriptors    int // for all connections, whatever state they are in
	MaxConnections int // in use; the other descriptors are for connections that are closing or just accepted
}

// Plan computes the budget. The servers get what they need as long as a third of the total is left for the clients;
// servers beyond that have no connection until another one is closed.
func Plan(d Demand) Budget {
	b := Budget{Total: d.Limit, Runtime: d.runtimeDescriptors(), Discovery: discoveryShare}
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

// runtimeDescriptors returns what the program's own sockets and files need.
func (d Demand) runtimeDescriptors() int {
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

// clientsFront splits the share of the clients' front, which needs room for connections that are being closed gracefully.
func clientsFront(descriptors int) FrontShare {
	maxConnections := (descriptors - acceptReserve) * closingDivisor / (closingDivisor + 1)
	return FrontShare{Descriptors: descriptors, MaxConnections: max(maxConnections, 1)}
}

// webSocketFront splits the share of the WebSocket front, which closes at once the connections that make room.
func webSocketFront(descriptors int) FrontShare {
	return FrontShare{Descriptors: descriptors, MaxConnections: max(descriptors-acceptReserve, 1)}
}
