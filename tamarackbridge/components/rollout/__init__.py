"""Gradual move of a service's requests to servers of another version."""
