"""Counters, histograms, logs and traces."""
