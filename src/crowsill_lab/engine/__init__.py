"""An emulated model engine."""
