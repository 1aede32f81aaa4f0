"""Measurements of the decisions and of the real processes."""
