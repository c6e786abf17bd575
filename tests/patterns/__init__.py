"""Replays load patterns through the real decisions in simulated time."""
