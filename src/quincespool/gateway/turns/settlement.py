"""Outcomes for records of turns whose partition has changed its owner."""

from __future__ import annotations

from enum import StrEnum


class Settlement(StrEnum):
    """Outcome of passing a record of a turn that began at an earlier owner to the present one.

    Attributes:
      DURABLE: The record is durable.
      OVER_BUDGET: The record starts a turn that the remaining budget does not allow any more.
      NOT_HERE: This daemon does not own the partition, or has not read all its records yet.
    """

    DURABLE = "kept"
    OVER_BUDGET = "over_budget"
    NOT_HERE = "not_here"


class LostPartitionError(Exception):
    """This daemon no longer owns the partition; records not yet durable may never be appended."""
