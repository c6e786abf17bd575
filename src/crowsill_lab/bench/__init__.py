"""Benchmarks and simulations that are run by hand; each prints its figures as text."""
