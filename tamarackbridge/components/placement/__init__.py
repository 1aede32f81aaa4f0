"""Where a request runs: servers' load, health, and what they hold."""
