"""Crowds of callers that break the rules, before real daemons on hosts with little memory."""

from __future__ import annotations
