"""Fair scheduling of requests over the backend servers of one shard."""
