"""Turns of programs: partition ownership, records, relay to owners, histories and budgets."""
