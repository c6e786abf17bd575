"""The replicated state machine that the consensus log drives."""
