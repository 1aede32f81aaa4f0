"""Test servers that stand in for services of the platform.

They speak the protocols that the product's adapters expect and are no part of
the product. Most take faults through `/control`; `PlatformServer` takes them
from its test.
"""
