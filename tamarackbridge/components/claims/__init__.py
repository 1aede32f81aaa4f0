"""Idempotency claims: at most one run of the work of each key."""
