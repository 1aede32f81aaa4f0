"""A router's local copy of the configuration, servers and zones."""
