"""Measurements of the decisions, of the daemon and of whole fleets."""
