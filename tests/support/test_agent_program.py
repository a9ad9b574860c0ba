"""Tests of the careful caller, of what it was told, and of the oracle."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from tests.support.agent_program import AgentProgram
from tests.support.agent_program import Told
from tests.support.oracle import JournalEntry
from tests.support.oracle import effect_faults
from tests.support.standins.http import StandIn

if TYPE_CHECKING:
    from tests.support.standins.http import Exchange


_TEXT_EVENT = {"choices": [{"delta": {"content": "ha"}}]}


class _Script(msgspec.Struct):
    """What a daemon does with its next calls, one after another: see `_Daemon.handle`."""

    steps: list[str]


class _Daemon(StandIn[_Script]):
    """Answers calls by its script, and remembers the number of each call that it saw."""

    def __init__(self, *steps: str) -> None:
        super().__init__(_Script(list(steps)))
        self.seen: list[str] = []

    def counts(self) -> dict[str, object]:
        return {"seen": self.seen}

    async def handle(self, exchange: Exchange) -> None:
        if exchange.request.path == "/v1/where":
            where = {"address": self.address, "good_for_ms": 1_000_000}
            return await exchange.reply(200, where)
        self.seen.append(exchange.request.headers["x-call-number"])
        match self.knobs.steps.pop(0):
            case "cut":
                return exchange.cut()
            case "busy":
                error = {"code": "overload", "verdict": "not_run", "outcome_id": "o"}
                headers = {"x_verdict": "not_run", "retry_after": "1", "retry_after_ms": "5"}
                return await exchange.reply(503, {"error": error}, **headers)
            case "half":
                return await _stream(exchange, _TEXT_EVENT)
            case "unread":
                return await _stream(exchange, _TEXT_EVENT, {"error": {"verdict": "ran"}})
            case "whole":
                end = {"choices": [], "verdict": "ran", "outcome_id": "o"}
                return await _stream(exchange, _TEXT_EVENT, _TEXT_EVENT, end, done=True)
        headers = {"x_verdict": "ran", "x_outcome_id": "o"}
        answer = {"choices": [{"message": {"content": "whole"}}]}
        return await exchange.reply(200, answer, **headers)


async def _stream(exchange: Exchange, *events: dict[str, Any], done: bool = False) -> None:
    await exchange.start("text/event-stream")
    for event in events:
        await exchange.send(b"data: " + msgspec.json.encode(event) + b"\n\n")
    if done:
        await exchange.send(b"data: [DONE]\n\n")
    await exchange.finish()


def test_caller_keeps_its_call_number_until_the_final_answer() -> None:
    """Connections break, a stream ends early and a daemon is overloaded, all on one call.

    The caller must send the same call number each time; a new one would be a second call.
    """

    async def scenario() -> None:
        async with (
            _Daemon("cut", "busy", "unread") as one,
            _Daemon("half", "whole", "ok") as other,
        ):
            daemons = [one.address, other.address]
            program = AgentProgram("p", class_name="c", account="a", daemons=daemons)
            told = await program.ask("m", [], stream=True)
            assert (told.verdict, told.text, told.outcome_id) == ("ran", "haha", "o")
            assert [said.reason for said in program.told] == ["overload", ""]
            assert (one.seen, other.seen) == (["1"] * 3, ["1"] * 2)
            sub_agent = program.sub_agent("child")
            assert (await sub_agent.ask("m", [])).text == "whole"
            assert (sub_agent.program_id, one.seen[3:] + other.seen[2:]) == ("p/child", ["1"])

    asyncio.run(scenario())


def _told(call_number: int, verdict: str, *, idempotent: bool = False) -> Told:
    return Told("p", call_number, idempotent, "s/orders", 200, verdict, "", "o", 0, "")


def _effect(call_number: int) -> JournalEntry:
    return JournalEntry(
        program_id="p", call_number=str(call_number), request_id="", path="/orders", body=""
    )


@pytest.mark.parametrize(
    ("told", "effects", "faults"),
    [
        ([_told(1, "ran"), _told(2, "ran")], [1, 2], []),
        ([_told(1, "ran")], [1, 1], ["('p', 1) took effect 2 times"]),
        ([_told(1, "ran", idempotent=True)], [1, 1], []),
        ([_told(1, "ran")], [], ["('p', 1) was said to have run and did not"]),
        ([_told(1, "not_run")], [1], ["('p', 1) was said not to have run and did"]),
        ([_told(1, "not_run"), _told(1, "ran")], [1], []),
        ([_told(1, "may_have_run"), _told(2, "ran")], [2, 1], []),
        ([_told(1, "ran"), _told(2, "ran")], [2, 1], ["('p', 1) took effect after call 2"]),
    ],
)
def test_oracle_names_each_broken_promise(
    told: list[Told], effects: list[int], faults: list[str]
) -> None:
    assert effect_faults(told, [_effect(number) for number in effects]) == faults
