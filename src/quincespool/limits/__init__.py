"""Limits of client accounts over all daemons: decisions without clock, socket or randomness."""
