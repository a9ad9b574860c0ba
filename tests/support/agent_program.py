"""A caller as careful as the system asks it to be, and what it was told, for the oracle."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

from quincespool.verdict import Verdict
from tests.support.client import ConnectionLostError
from tests.support.client import Reply
from tests.support.client import fetch
from tests.support.standins.generation import ChatMessage
from tests.support.standins.generation import generate

if TYPE_CHECKING:
    from collections.abc import Sequence

_CHAT_PATH = "/v1/chat/completions"
_LOST_PAUSE_S = 0.05
_EVENT_PREFIX = "data: "
_LAST_EVENT = "[DONE]"


class GaveUpError(Exception):
    """The program's patience ended before its call had a final answer."""


class Told(NamedTuple):
    """What the system said about one call, once.

    Attributes:
      program_id: Which program's call.
      call_number: 1, 2, 3, ...
      idempotent: Whether the call may be repeated.
      target: Model, or service with path.
      status: HTTP status, also for an error in the middle of a stream.
      verdict: As the system gave it.
      reason: Code of a refusal, empty on success.
      outcome_id: For the audit.
      retry_after_ms: 0 if there is no use in coming back.
      text: The answer.
    """

    program_id: str
    call_number: int
    idempotent: bool
    target: str
    status: int
    verdict: str
    reason: str
    outcome_id: str
    retry_after_ms: int
    text: str


class _Call(NamedTuple):
    number: int
    path: str
    target: str
    body: bytes
    idempotent: bool
    stream: bool


class AgentProgram:
    """One program or sub-agent: numbers its calls and sends each until it has a final answer.

    Args:
      program_id: `ROOT` or `ROOT/CHILD`.
      class_name: Name of its class entry.
      account: Client account that pays.
      daemons: Addresses it may ask, in this order.
      patience_s: For each call, over all attempts.
    """

    def __init__(
        self,
        program_id: str,
        *,
        class_name: str,
        account: str,
        daemons: Sequence[str],
        patience_s: float = 30,
    ) -> None:
        self.program_id = program_id
        self.told: list[Told] = []
        self.attempts = 0
        self._class_name = class_name
        self._account = account
        self._daemons = list(daemons)
        self._patience_s = patience_s
        self._address = ""
        self._address_until_s = 0.0
        self._calls = 0

    def sub_agent(self, name: str) -> AgentProgram:
        """Returns a sub-agent, which numbers its own calls."""
        return AgentProgram(
            f"{self.program_id}/{name}",
            class_name=self._class_name,
            account=self._account,
            daemons=self._daemons,
            patience_s=self._patience_s,
        )

    async def ask(
        self, model: str, messages: list[ChatMessage], *, max_tokens: int = 64, stream: bool = False
    ) -> Told:
        """Makes a model call; idempotent."""
        value = {"model": model, "messages": messages, "max_tokens": max_tokens, "stream": stream}
        body = msgspec.json.encode(value)
        return await self._make_call(_CHAT_PATH, model, body, stream=stream)

    async def call_service(
        self, service: str, path: str, value: object, *, idempotent: bool = False
    ) -> Told:
        """Calls `path` (starting with `/`) of a plain service."""
        target = service + path
        body = msgspec.json.encode(value)
        return await self._make_call(f"/v1/services/{target}", target, body, idempotent=idempotent)

    async def end(self) -> Reply:
        """Ends the program; harmless if repeated."""
        async with asyncio.timeout(self._patience_s):
            while True:
                try:
                    reply = await self._fetch("POST", f"/v1/programs/{self.program_id}/end")
                except ConnectionLostError:
                    await self._try_another()
                    continue
                if "retry-after-ms" not in reply.headers:
                    return reply
                await asyncio.sleep(int(reply.headers["retry-after-ms"]) / 1000)

    async def _make_call(
        self, path: str, target: str, body: bytes, *, idempotent: bool = True, stream: bool = False
    ) -> Told:
        self._calls += 1
        call = _Call(self._calls, path, target, body, idempotent, stream)
        try:
            async with asyncio.timeout(self._patience_s):
                return await self._send_until_final(call)
        except TimeoutError as error:
            last = [told for told in self.told if told.call_number == call.number][-1:]
            raise GaveUpError(f"{self.program_id}#{call.number}: {last}") from error

    async def _send_until_final(self, call: _Call) -> Told:
        while True:
            self.attempts += 1
            try:
                told = self._told(call, await self._fetch_call(call))
            except ConnectionLostError:
                # The same call number goes to another daemon: whether the call ran is for the
                # system to say. A new number would make it a second call.
                await self._try_another()
                continue
            self.told.append(told)
            if told.verdict == Verdict.RAN or not told.retry_after_ms:
                return told
            await asyncio.sleep(told.retry_after_ms / 1000)

    async def _fetch_call(self, call: _Call) -> Reply:
        headers = {
            "content-type": "application/json",
            "x-program-id": self.program_id,
            "x-call-number": str(call.number),
            "x-class": self._class_name,
            "x-account": self._account,
            "x-idempotent": str(call.idempotent).lower(),
        }
        return await self._fetch("POST", call.path, headers=headers, body=call.body)

    async def _fetch(
        self, method: str, path: str, *, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> Reply:
        address = await self._find_address()
        return await fetch(address, method, path, headers=headers, body=body)

    async def _find_address(self) -> str:
        """Returns the address to use, which is kept as long as the system said."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._address_until_s:
            return self._address
        path = f"/v1/where?program={self.program_id}"
        reply = await fetch(self._daemons[0], "GET", path)
        if reply.status != 200:
            raise ConnectionLostError(f"no address: {reply.body!r}", sent=False)
        where = reply.json()
        self._address = where["address"]
        self._address_until_s = now_s + where["good_for_ms"] / 1000
        return self._address

    async def _try_another(self) -> None:
        self._address_until_s = 0.0
        self._daemons.append(self._daemons.pop(0))
        await asyncio.sleep(_LOST_PAUSE_S)

    def _told(self, call: _Call, reply: Reply) -> Told:
        text, end = _read_answer(call, reply)
        return Told(
            program_id=self.program_id,
            call_number=call.number,
            idempotent=call.idempotent,
            target=call.target,
            status=reply.status,
            verdict=end.get("verdict") or reply.headers["x-verdict"],
            reason=end.get("code", ""),
            outcome_id=end.get("outcome_id") or reply.headers.get("x-outcome-id", ""),
            retry_after_ms=int(reply.headers.get("retry-after-ms", "0")),
            text=text,
        )


def expected_text(told: Told, messages: list[ChatMessage], *, max_tokens: int = 64) -> str:
    """Returns the whole text that a model engine gives to this very call."""
    return generate(told.program_id, str(told.call_number), messages, max_tokens).text


def _read_answer(call: _Call, reply: Reply) -> tuple[str, dict[str, Any]]:
    """Returns the text, and the error as the system put it if there is one."""
    if "text/event-stream" in reply.headers.get("content-type", ""):
        return _read_events(reply)
    if reply.headers["x-verdict"] != Verdict.RAN:
        return "", reply.json()["error"]
    if call.path != _CHAT_PATH:
        return reply.body.decode(), {}
    value = reply.json()
    if "error" in value:
        return "", value["error"]
    return value["choices"][0]["message"]["content"], {}


def _read_events(reply: Reply) -> tuple[str, dict[str, Any]]:
    """Returns the text and the end of a stream: what its last event says, or its error.

    Raises:
      ConnectionLostError: if the stream must be asked for again: it ended early, or says that the
        call has run but that this stream could not be completed.
    """
    lines = reply.body.decode().split("\n")
    events = [line.removeprefix(_EVENT_PREFIX) for line in lines if line.startswith(_EVENT_PREFIX)]
    text = ""
    end: dict[str, Any] = {}
    for event in events:
        if event == _LAST_EVENT:
            return text, {"verdict": end["verdict"], "outcome_id": end["outcome_id"]}
        end = msgspec.json.decode(event)
        if error := end.get("error"):
            if error["verdict"] == Verdict.RAN:
                break
            return "", error
        text += "".join(choice["delta"].get("content") or "" for choice in end["choices"])
    raise ConnectionLostError("the stream is not whole", sent=True)
