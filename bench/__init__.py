"""Benchmarks of both daemons.

`decisions`, `calls`, `rates`, `relay` and `fleets` measure the threaded daemon.
`slottable` measures the slot table of the event-loop daemon; `policies` and `compare`
run it in the queueing model.
"""
