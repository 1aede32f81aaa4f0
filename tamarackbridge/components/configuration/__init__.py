"""Configuration: watched, validated, applied, confirmed."""
