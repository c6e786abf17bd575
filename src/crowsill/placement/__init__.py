"""Placement of models on engines, without I/O: planners, memory ledger, orders and pacing."""
