"""Small helpers that several components share."""
