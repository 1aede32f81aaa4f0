"""One package per concern of the router."""
