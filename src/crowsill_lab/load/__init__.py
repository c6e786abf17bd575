"""Open-loop load generator that checks the responses."""
