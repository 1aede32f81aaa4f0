"""Small stand-ins for what the product talks to, for tests and the demo."""
