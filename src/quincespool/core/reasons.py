"""Codes for refusals and failures; each stands in the error body and in the outcome id."""

from __future__ import annotations

from enum import StrEnum


class Reason(StrEnum):
    """Why a request was refused or failed."""

    UNKNOWN_CLASS = "unknown_class"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_TARGET = "unknown_target"
    BUDGET = "budget"
    TURN_LIMIT = "turn_limit"
    RATE = "rate"
    PROGRAM_ENDED = "program_ended"
    CALL_CONFLICT = "call_conflict"
    CALL_GAP = "call_gap"
    DEADLINE = "deadline"
    OVERLOAD = "overload"
    NO_BACKEND = "no_backend"
    BACKEND_FAILED = "backend_failed"
    QUARANTINED = "quarantined"
    LOG_OUT = "log_out"
    NO_OWNER = "no_owner"
    DRAINING = "draining"
    UNRESOLVED = "unresolved"
    CANCELLED = "cancelled"
    MALFORMED = "malformed"
    NOT_READY = "not_ready"
    UNKNOWN_PROGRAM = "unknown_program"
    ANSWER_NOT_KEPT = "answer_not_kept"
    ACCOUNT_OUT = "account_out"


STATUS: dict[Reason, int] = {
    Reason.UNKNOWN_CLASS: 403,
    Reason.NOT_ALLOWED: 403,
    Reason.UNKNOWN_TARGET: 404,
    Reason.BUDGET: 402,
    Reason.TURN_LIMIT: 402,
    Reason.RATE: 429,
    Reason.PROGRAM_ENDED: 410,
    Reason.CALL_CONFLICT: 409,
    Reason.CALL_GAP: 409,
    Reason.DEADLINE: 504,
    Reason.OVERLOAD: 503,
    Reason.NO_BACKEND: 503,
    Reason.BACKEND_FAILED: 502,
    Reason.QUARANTINED: 422,
    Reason.LOG_OUT: 503,
    Reason.NO_OWNER: 503,
    Reason.DRAINING: 503,
    Reason.UNRESOLVED: 409,
    Reason.CANCELLED: 499,
    Reason.MALFORMED: 400,
    Reason.NOT_READY: 503,
    Reason.UNKNOWN_PROGRAM: 404,
    Reason.ANSWER_NOT_KEPT: 410,
    Reason.ACCOUNT_OUT: 503,
}
