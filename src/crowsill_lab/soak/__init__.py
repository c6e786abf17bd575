"""A fault soak: the real programs as separate processes, faults from outside, promises checked."""
