"""Online and batch inference for many teams on one fleet."""

__version__ = "0.1.0"
