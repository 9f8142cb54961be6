"""Serving on one event loop: decisions, state and recovery, free of platform names."""
