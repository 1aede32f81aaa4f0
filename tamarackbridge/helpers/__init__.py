"""Helpers that are independent of any component."""
