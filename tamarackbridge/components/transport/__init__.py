"""gRPC streams between routers, batched per peer and tick."""
