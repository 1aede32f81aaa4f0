"""The way of one caller's request: accept, wait, forward, answer."""
