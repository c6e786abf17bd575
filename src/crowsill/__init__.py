"""Crowsill: serves many language models, adapters and services on fewer accelerators."""

__version__ = "0.1.0"
