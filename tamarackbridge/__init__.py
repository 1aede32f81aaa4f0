"""A router fleet that shares backend capacity fairly between workspaces."""
