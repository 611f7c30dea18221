package gossip

// RelayFrame is a message on the stream of a relayed connection.
type RelayFrame = relayFrame
