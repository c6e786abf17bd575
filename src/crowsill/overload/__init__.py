"""Recognises overloaded services from the reports of all gateways, and divides their room."""
