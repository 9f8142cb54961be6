"""Adapter to the Teranga platform: its HTTP interfaces, records and settings."""
