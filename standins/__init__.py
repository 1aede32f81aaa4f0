"""Small stand-ins for what the platform gives.

They speak the protocols that the product's adapters expect, can be told to
fail through `/control`, and are no part of the product.
"""
