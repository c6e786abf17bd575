"""Identification of tenants and their quotas, for entries and gateways."""
