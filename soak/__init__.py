"""Soak test: injects faults from a seed into real router processes."""
