"""A plain service or tool: counts its effects and keeps them in order, and fails on command."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

from tests.support.standins.http import RefusedError
from tests.support.standins.http import StandIn
from tests.support.standins.http import run

if TYPE_CHECKING:
    from tests.support.standins.http import Exchange


class ServiceKnobs(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Options and faults.

    Attributes:
      delay_ms: Before the effect.
      hang: Requests wait, before the effect, until this is false again. They take effect then, also
        if their caller has left: a tool that hangs may still act, late.
      fail_before: So many next requests answer 500 without effect.
      fail_after: So many next requests answer 500 although they took effect.
      cut_before: So many next requests have their connection reset without effect.
      cut_after: So many next requests take effect, then have their connection reset.
      crash_marker: A request whose body holds this text crashes the service before its effect.
      crash_mode: `exit` ends the process; `close` resets all connections and refuses for a while.
      refuse_ms: How long after a crash by `close`.
      checks_fencing: Answers 412 to a fencing number below the highest seen.
    """

    delay_ms: float = 0
    hang: bool = False
    fail_before: int = 0
    fail_after: int = 0
    cut_before: int = 0
    cut_after: int = 0
    crash_marker: str = ""
    crash_mode: str = "close"
    refuse_ms: float = 500
    checks_fencing: bool = False


class Effect(NamedTuple):
    """One effect in the journal."""

    program_id: str
    call_number: str
    request_id: str
    path: str
    body: str


class PlainService(StandIn[ServiceKnobs]):
    """A plain service; see docs/design/outside-systems.md for its protocol."""

    def __init__(self, knobs: ServiceKnobs, *, host: str, port: int) -> None:
        super().__init__(knobs, host=host, port=port)
        self._journal: list[Effect] = []
        self._requests = 0
        self._crashes = 0
        self._refused_fencing = 0
        self._highest_fencing_number = -1
        self._moving = asyncio.Event()
        self.controlled()

    def counts(self) -> dict[str, object]:
        """The effects in order and counted by call and by attempt, and requests seen."""
        return {
            "journal": [effect._asdict() for effect in self._journal],
            "by_call": Counter(f"{e.program_id}#{e.call_number}" for e in self._journal),
            "by_request": Counter(effect.request_id for effect in self._journal),
            "requests": self._requests,
            "refused_fencing": self._refused_fencing,
            "crashes": self._crashes,
        }

    def controlled(self) -> None:
        """Starts or ends a hang."""
        if self.knobs.hang:
            self._moving.clear()
        else:
            self._moving.set()

    def lose_memory(self) -> None:
        """Forgets the fencing number; effects are lasting."""
        self._crashes += 1
        self._highest_fencing_number = -1

    async def handle(self, exchange: Exchange) -> None:
        """Takes effect once, unless a fault comes first, and answers."""
        request = exchange.request
        self._requests += 1
        if not self._fencing_passed(request.headers):
            raise RefusedError(412, "old fencing number")
        marker = self.knobs.crash_marker
        if marker and marker.encode() in request.body:
            return self.crash(mode=self.knobs.crash_mode, refuse_ms=self.knobs.refuse_ms)
        if self._due("cut_before"):
            return exchange.cut()
        if self._due("fail_before"):
            return await exchange.reply(500, {"error": "failed before the effect"})
        await asyncio.sleep(self.knobs.delay_ms / 1000)
        await self._moving.wait()
        return await self._take_effect(exchange)

    async def _take_effect(self, exchange: Exchange) -> None:
        request = exchange.request
        effect = Effect(
            program_id=request.headers.get("x-program-id", ""),
            call_number=request.headers.get("x-call-number", ""),
            request_id=request.headers.get("x-request-id", ""),
            path=request.path,
            body=request.body.decode(),
        )
        self._journal.append(effect)
        number = len(self._journal)
        if self._due("cut_after"):
            return exchange.cut()
        if self._due("fail_after"):
            return await exchange.reply(500, {"error": "failed after the effect"})
        return await exchange.reply(200, {"effect_number": number, **effect._asdict()})

    def _due(self, fault: str) -> bool:
        left = getattr(self.knobs, fault)
        if left > 0:
            setattr(self.knobs, fault, left - 1)
        return bool(left > 0)

    def _fencing_passed(self, headers: dict[str, str]) -> bool:
        number = int(headers.get("x-fencing-number", self._highest_fencing_number))
        if self.knobs.checks_fencing and number < self._highest_fencing_number:
            self._refused_fencing += 1
            return False
        self._highest_fencing_number = max(number, self._highest_fencing_number)
        return True


def make_plain_service(*, host: str = "127.0.0.1", port: int = 0, **knobs: Any) -> PlainService:
    """Makes a plain service; `knobs` are the fields of `ServiceKnobs`."""
    return PlainService(ServiceKnobs(**knobs), host=host, port=port)


if __name__ == "__main__":
    run(make_plain_service, ServiceKnobs)
