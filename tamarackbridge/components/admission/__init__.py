"""Admission control: fair queueing, rejection and the retry budget."""
