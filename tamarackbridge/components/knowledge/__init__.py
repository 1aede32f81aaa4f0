"""What a router knows of configuration, backend servers and zones, and since
when.
"""
