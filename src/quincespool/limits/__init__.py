"""Limits of client accounts over all daemons: pure decisions, no clock, socket or randomness."""
