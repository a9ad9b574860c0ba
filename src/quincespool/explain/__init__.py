"""Finds causes in the JSON lines that daemons have written."""
