"""WebSockets between routers, batched for each peer."""
