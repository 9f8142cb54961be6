"""Requests and parts of prompts that crash endpoints: detection and quarantine."""
