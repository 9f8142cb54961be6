"""Online and batch inference for many teams on one fleet.

The package has two daemons. The threaded daemon is made of the modules directly in
this package and has its own HTTP interface. The event-loop daemon is in `serving`,
and `platform` adapts it to the Teranga platform. Both use `clocks`, `errors`,
`events`, `ids`, `quarantine` and `convert_checked` of `settings`.
"""

__version__ = "0.1.0"
