"""Program budgets, spent in slices that stand in the log before anything is spent of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quincespool.core.call import Call
    from quincespool.core.ledger.program_record import ProgramRecord

SLICE_PARTS = 8
"""A slice is a part of the budget: small, since a takeover counts an open one as spent."""


class Spending:
    """What the owner spends of a root program's slice, beyond what outcomes already say.

    Attributes:
      epoch: The epoch this belongs to.
      reserved_tokens: The most that calls now in flight can cost.
      unrecorded_tokens: Upper bound of what failed attempts have cost.
    """

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.reserved_tokens = 0
        self.unrecorded_tokens = 0


def most_tokens(call: Call) -> int:
    """Returns an upper bound of what one attempt of a call can cost.

    A token stands for at least one byte of the prompt, so the body's length bounds the prompt.
    """
    if call.max_tokens <= 0:
        return 0
    return len(call.body) + call.max_tokens


def missing_tokens(record: ProgramRecord | None, spending: Spending, need_tokens: int) -> int:
    """Returns how much larger the slice in force must be for `need_tokens` more; 0 if it is not."""
    available = 0
    if record is not None and record.slice_epoch == spending.epoch:
        available = record.slice_tokens - record.settled_tokens
    available -= spending.reserved_tokens + spending.unrecorded_tokens
    return max(0, need_tokens - available)


def next_slice(record: ProgramRecord | None, budget_tokens: int, missing: int) -> int | None:
    """Returns the size of the slice to write so that `missing` tokens can be spent.

    None if the budget does not allow it. What an earlier epoch was granted counts as spent whole.
    """
    granted = record.granted_tokens if record is not None else 0
    left = budget_tokens - granted
    if missing > left:
        return None
    return min(left, max(missing, budget_tokens // SLICE_PARTS))
