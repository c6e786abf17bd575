"""Requests that a gateway passes to another one, because that one reaches replicas of theirs."""
