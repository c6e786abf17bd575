"""HTTP resources for callers and operators."""
