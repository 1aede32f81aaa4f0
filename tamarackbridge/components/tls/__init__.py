"""TLS for callers, operators and between routers."""
