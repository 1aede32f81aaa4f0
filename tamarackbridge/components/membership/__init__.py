"""Fleet membership: roster, heartbeats and the leases of shards."""
