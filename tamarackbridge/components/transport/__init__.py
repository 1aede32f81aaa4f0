"""Messages between routers: one WebSocket a peer, sent in batches."""
