"""Stand-ins for external systems, for tests, demos and benchmarks.

For the threaded daemon: `fleet` starts the processes of `log`, `vms`, `engine` and
`service`. For the event-loop daemon: `processes` starts those of `platform`, which
serves `keyedlog` over HTTP. `proxy` and `addresses` are used for both.
"""
