"""Limits of client accounts over all daemons."""
