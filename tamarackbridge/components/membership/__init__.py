"""Which routers are there, and which of them holds what."""
