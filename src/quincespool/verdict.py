"""The verdict: whether a request may have run on a backend server."""

from __future__ import annotations

from enum import StrEnum


class Verdict(StrEnum):
    """What the system knows about the effect of one request.

    The three values are ordered by what a caller may do next: after `NOT_RUN` a request may be sent
    again at will; after `RAN` its answer is the stored one; after `MAY_HAVE_RUN` only an idempotent
    request may be sent again.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"
