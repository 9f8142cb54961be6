"""Slots at endpoints: tables, their owner, requests for slots, limits and ejections."""
