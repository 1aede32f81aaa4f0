"""The entry: HTTP listener for callers, the clients that send requests.

Authenticates each request, waits for a permit, forwards the request to a
backend server and returns its answer.
"""
