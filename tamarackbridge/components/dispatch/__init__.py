"""Fair order and permits for the backend servers of one shard."""
