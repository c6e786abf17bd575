"""The gateway: forwards callers' plain HTTP requests to registered replicas, unchanged."""
