"""HTTP towards backend servers."""
