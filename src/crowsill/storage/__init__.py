"""Durable files in the data folder."""
