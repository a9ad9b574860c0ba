"""What a keeper may say of an attempt that is over: each answer must be true of what was sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.call import CallKind
from quincespool.core.messages import DispatchDone
from quincespool.core.reasons import Reason
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from quincespool.core.keeper.chat_stream import ChatStream
    from quincespool.core.keeper.exchange import Reply
    from quincespool.core.messages import Dispatch

STATUS_FENCED = 412
ENGINE_REFUSALS = (429, 503)


def not_run(attempt_id: str, reason: Reason, *, retry_after_ms: int = 0) -> DispatchDone:
    """Returns the answer for an attempt of which the backend server cannot have got anything."""
    return _done(attempt_id, Verdict.NOT_RUN, reason=reason, retry_after_ms=retry_after_ms)


def may_have_run(attempt_id: str, reason: Reason, *, crashed: bool = False) -> DispatchDone:
    """Returns the answer for an attempt that was sent and whose end is unknown."""
    return _done(attempt_id, Verdict.MAY_HAVE_RUN, reason=reason, crashed=crashed)


def answered(dispatch: Dispatch, reply: Reply, *, checks_fencing: bool) -> DispatchDone:
    """Returns the answer for an attempt whose response is complete."""
    attempt_id = dispatch.attempt_id
    # Without `checks_fencing` a 412 is the application's own "precondition failed".
    if reply.status == STATUS_FENCED and checks_fencing:
        return not_run(attempt_id, Reason.NO_OWNER)
    if dispatch.call_kind == CallKind.MODEL and reply.status in ENGINE_REFUSALS:
        return not_run(attempt_id, Reason.OVERLOAD, retry_after_ms=reply.retry_after_ms)
    # An engine that fails may have spent tokens before; the owner decides on another attempt.
    if dispatch.call_kind == CallKind.MODEL and reply.status >= 500:
        return may_have_run(attempt_id, Reason.BACKEND_FAILED)
    if reply.chat is not None:
        return _chat_answered(dispatch, reply, reply.chat)
    return _done(
        attempt_id,
        Verdict.RAN,
        status=reply.status,
        body=reply.body,
        content_type=reply.content_type,
        reason=Reason.BACKEND_FAILED if reply.status >= 500 else "",
    )


def _chat_answered(dispatch: Dispatch, reply: Reply, chat: ChatStream) -> DispatchDone:
    if not chat.whole:
        return may_have_run(dispatch.attempt_id, Reason.BACKEND_FAILED)
    # An engine that leaves usage out must not make tokens free of charge: count the most it can be.
    prompt_tokens, cached_tokens, completion_tokens = chat.usage or (
        dispatch.prompt_tokens,
        0,
        dispatch.max_tokens,
    )
    return _done(
        dispatch.attempt_id,
        Verdict.RAN,
        status=reply.status,
        body=chat.tool_calls(),
        content_type="application/json",
        prompt_tokens=prompt_tokens,
        cached_tokens=cached_tokens,
        completion_tokens=completion_tokens,
        finish_reason=chat.finish_reason,
    )


def _done(
    attempt_id: str,
    verdict: Verdict,
    *,
    status: int = 0,
    body: bytes = b"",
    content_type: str = "",
    prompt_tokens: int = 0,
    cached_tokens: int = 0,
    completion_tokens: int = 0,
    finish_reason: str = "",
    reason: str = "",
    retry_after_ms: int = 0,
    crashed: bool = False,
) -> DispatchDone:
    return DispatchDone(
        attempt_id=attempt_id,
        verdict=verdict.value,
        status=status,
        body=body,
        content_type=content_type,
        prompt_tokens=prompt_tokens,
        cached_tokens=cached_tokens,
        completion_tokens=completion_tokens,
        finish_reason=finish_reason,
        reason=str(reason),
        retry_after_ms=retry_after_ms,
        crashed=crashed,
    )
