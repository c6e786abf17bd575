"""Emulated plain services: services without models."""
