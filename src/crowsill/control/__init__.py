"""The control role: consensus driver, fleet observation, placement."""
