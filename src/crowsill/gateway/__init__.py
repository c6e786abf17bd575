"""The gateway: passes callers' plain HTTP requests on to registered replicas, unchanged."""
