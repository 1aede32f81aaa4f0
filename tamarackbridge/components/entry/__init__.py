"""The caller's side: accepts, waits for a permit, forwards, answers."""
