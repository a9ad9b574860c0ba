"""What becomes of records of turns whose partition changes hands."""

from __future__ import annotations

from enum import StrEnum


class Settlement(StrEnum):
    """What became of a record of a turn that began at an earlier owner.

    Attributes:
      KEPT: It is durable.
      OVER_BUDGET: It would start a turn for which the budget is not enough any more.
      NOT_HERE: Another daemon owns the partition, or it is not read yet.
    """

    KEPT = "kept"
    OVER_BUDGET = "over_budget"
    NOT_HERE = "not_here"


class LostPartitionError(Exception):
    """Another daemon owns the partition now; what was not yet kept is not."""
