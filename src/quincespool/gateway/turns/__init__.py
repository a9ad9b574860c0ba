"""Turns of programs: owners, records, relay between daemons, histories and budgets."""
