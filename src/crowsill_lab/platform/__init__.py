"""An emulated list of machines of the platform."""
