"""Emulators, load generator and experiments. Never deployed."""
