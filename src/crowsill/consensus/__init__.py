"""Raft as a pure state machine: I/O, time and randomness are supplied by the caller."""
