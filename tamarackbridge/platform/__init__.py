"""Adapter of the users' platform: translates its words, decides nothing."""
