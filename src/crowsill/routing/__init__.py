"""Routing decisions without I/O: candidates, load estimates, limits and health."""
