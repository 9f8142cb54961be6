"""Tests, one module for each module that they test, and one for each promise."""
