"""Adapter that translates between the users' platform and the router."""
