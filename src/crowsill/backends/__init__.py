"""Adapters for engines, services and the platform's list of machines."""
