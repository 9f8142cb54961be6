"""Benchmarks of the decision modules, the daemon and whole fleets."""
