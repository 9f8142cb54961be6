"""Tests, one module for each module under test and one for each guarantee."""
