"""A fault soak: the real programs as separate processes, external faults, checked guarantees."""
