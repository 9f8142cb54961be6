"""The adapter to the Teranga platform: its names, calls and settings."""
