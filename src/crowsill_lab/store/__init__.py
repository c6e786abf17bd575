"""An emulated weight store."""
