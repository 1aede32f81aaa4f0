"""Checks of a configuration before it is written."""
