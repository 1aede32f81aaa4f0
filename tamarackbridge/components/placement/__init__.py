"""Selects the server for a request from load, health and cached prompts."""
