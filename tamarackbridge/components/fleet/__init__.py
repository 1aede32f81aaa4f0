"""Membership of the router fleet and the state that its routers share."""
