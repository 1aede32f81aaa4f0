"""HTTP connections to backend servers and polling of their load."""
