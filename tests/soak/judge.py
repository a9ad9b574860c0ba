"""Which requests are lost by the rules, from what callers saw, engines did and the diary tells."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.soak.diary import CONTACT_S
from tests.soak.diary import GRACE_S
from tests.support.client import CROSSING_S

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from tests.soak.diary import Diary
    from tests.soak.diary import Work
    from tests.support.standins.platform_engine import Span

# A daemon that stops leaves an engine its last sixth; what was sent this early could have ended.
LAST_PART_S = GRACE_S * 5 / 6
EARLY_S = 3.0
LATE_S = 0.5
# Beside a configuration; the rest of a request's time may run out.
CONFIGURED_PART = 0.7
CLOSED_ALLOWED = 3
TRIES = 5


class Attempt(NamedTuple):
    """One request that was sent.

    Attributes:
      path: Of its route.
      daemon: Its name.
      is_kept: Whether the connection is meant for more than one request.
      is_behind: Whether it may have waited behind another one on its connection.
      ended_s: When its answer was whole, its connection ended, or its caller lost patience.
      status: Of the answer, 0 if none had begun.
      is_void: Whether it was the caller who ended it.
    """

    call_id: str
    path: str
    daemon: str
    is_kept: bool
    is_behind: bool
    budget_ms: int
    sent_s: float
    ended_s: float
    status: int
    is_whole: bool
    is_void: bool
    detail: str = ""


class Finding(NamedTuple):
    """A broken promise."""

    promise: str
    detail: str


def judge(
    attempts: Iterable[Attempt],
    turns: Iterable[tuple[str, ...]],
    spans: Iterable[Span],
    diary: Diary,
) -> list[Finding]:
    """Returns every broken promise; `turns` has the requests of each turn that was tried again."""
    by_call = {one.call_id: one for one in attempts}
    last_span = {span.call_id: span for span in sorted(spans, key=lambda span: span.ended_s)}
    findings = []
    closed = []
    for one in by_call.values():
        span = last_span.get(one.call_id)
        if _is_cut(one, span, diary):
            findings.append(Finding("cut", _describe(one, span, diary)))
        if _is_late(one, diary):
            findings.append(Finding("too late", _describe(one, span, diary)))
        if _is_closed(one, span, diary):
            closed.append(Finding("closed", _describe(one, span, diary)))
    if len(closed) > CLOSED_ALLOWED:
        findings += closed
    for calls in turns:
        if _is_unreached(calls, by_call, last_span, diary):
            findings.append(Finding("unreached", f"{calls}"))
    return findings


def _is_cut(one: Attempt, span: Span | None, diary: Diary) -> bool:
    if one.is_whole or one.is_void or _is_excused(one, span, diary):
        return False
    if span is None and one.ended_s - one.sent_s <= CROSSING_S:
        return False
    if diary.is_disturbed(one.sent_s, one.ended_s):
        return False
    planned = diary.planned(one.daemon, one.sent_s, one.ended_s)
    return any(_counts_beside(work, one, span, diary) for work in planned)


def _counts_beside(work: Work, one: Attempt, span: Span | None, diary: Diary) -> bool:
    if work.kind == "configure":
        return one.ended_s - one.sent_s < CONFIGURED_PART * _time_s(one, diary)
    if work.kind == "stop" and span is not None:
        was_early = one.sent_s <= work.began_s + EARLY_S
        return not (was_early and span.ended_s >= work.began_s + LAST_PART_S)
    return True


def _is_closed(one: Attempt, span: Span | None, diary: Diary) -> bool:
    if not one.is_kept or one.is_whole or one.status or one.is_void or span is None:
        return False
    if diary.is_stopped(one.sent_s, one.ended_s, one.daemon):
        return False
    is_sound = not diary.is_disturbed(one.sent_s, one.ended_s, one.daemon, span.backend_id)
    return is_sound and not _is_excused(one, span, diary)


def _is_late(one: Attempt, diary: Diary) -> bool:
    limits_ms = diary.limits_ms(one.path, one.sent_s, one.ended_s)
    limit_s = max(limits_ms) / 1000
    if one.ended_s - one.sent_s <= limit_s + LATE_S:
        return False
    return not diary.is_disturbed(one.sent_s, one.ended_s, one.daemon)


def _is_excused(one: Attempt, span: Span | None, diary: Diary) -> bool:
    if span is not None and span.broke_off:
        return True
    return one.ended_s - one.sent_s >= _time_s(one, diary)


def _time_s(one: Attempt, diary: Diary) -> float:
    limits_ms = diary.limits_ms(one.path, one.sent_s, one.ended_s)
    return min(one.budget_ms, *limits_ms) / 1000


def _is_unreached(
    calls: tuple[str, ...],
    by_call: Mapping[str, Attempt],
    last_span: Mapping[str, Span],
    diary: Diary,
) -> bool:
    if any(call_id in last_span for call_id in calls):
        return False
    tries = [by_call[call_id] for call_id in calls if call_id in by_call]
    if any(one.status == 402 for one in tries):
        return False
    counted = [
        one
        for one in tries
        if not diary.is_disturbed(one.sent_s, one.ended_s)
        and not diary.is_stopped(one.sent_s, one.ended_s, one.daemon)
    ]
    return len(counted) >= TRIES


def _describe(one: Attempt, span: Span | None, diary: Diary) -> str:
    beside = [
        f"{work.kind} {work.where} {(one.sent_s - work.began_s) * 1000:.0f} ms before"
        for work in diary.done
        if work.began_s <= one.ended_s and work.ended_s + CONTACT_S >= one.sent_s
    ]
    ran = f"ran {(span.began_s - one.sent_s) * 1000:.0f} ms after" if span else "not run"
    took_ms = (one.ended_s - one.sent_s) * 1000
    ended = f"{one.status} {one.detail} after {took_ms:.0f} ms"
    where = f"{one.daemon}{', behind' if one.is_behind else ''}"
    return f"{one.call_id} at {where}, {ended}, {ran}; {beside}"
