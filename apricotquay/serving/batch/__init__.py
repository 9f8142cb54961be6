"""Batch jobs: their records, partitions and the runner of their items."""
