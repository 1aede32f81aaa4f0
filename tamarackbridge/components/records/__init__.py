"""Declared records: kinds, schema versions and the internal form."""
