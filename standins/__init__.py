"""Stand-ins for external systems, for tests, demos and benchmarks."""
