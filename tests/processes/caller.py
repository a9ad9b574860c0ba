"""A caller that survives what these tests do: it tires of daemons that answer nothing."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from quincespool.verdict import Verdict
from tests.support.agent_program import AgentProgram
from tests.support.agent_program import Told
from tests.support.client import ConnectionLostError
from tests.support.standins.generation import ChatMessage
from tests.support.standins.generation import generate

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from tests.support.agent_program import _Call
    from tests.support.client import Reply

MAX_TOKENS = 64
_ATTEMPT_LIMIT_S = 6


class Asked(NamedTuple):
    """A model call as it was made, with all that an engine may spend on it and the whole answer."""

    messages: list[ChatMessage]
    text: str
    completion_tokens: int


class CarefulProgram(AgentProgram):
    """An agent program that asks again, under the same call number, whenever it was told to.

    Args:
      program_id: `ROOT` or `ROOT/CHILD`.
      daemons: Addresses it may ask, in this order.
      door: The address it keeps whatever `where` would say, like a caller with an old answer; it
        leaves it only when the connection breaks. Empty to ask.
      class_name: Name of its class entry.
      patience_s: For each call, over all attempts.
      gives_up: Whether it takes a "not run, come back" for the last word, each time.

    Attributes:
      asked: Its model calls by number.
      ordered: Bodies of its service calls by number.
      losses: How often the connection of a call could not be made or broke, or its stream was not
        whole.
    """

    def __init__(
        self,
        program_id: str,
        *,
        daemons: Sequence[str],
        door: str = "",
        class_name: str = "stock",
        patience_s: float = 60,
        gives_up: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__(
            program_id,
            class_name=class_name,
            account="member-pharmacies",
            daemons=daemons,
            patience_s=patience_s,
        )
        self.asked: dict[int, Asked] = {}
        self.ordered: dict[int, str] = {}
        self.children: list[CarefulProgram] = []
        self.losses = 0
        self._first_send = True
        self._repeats = False
        self._door = door
        self._gives_up = gives_up

    @property
    def family(self) -> list[CarefulProgram]:
        """This program and its sub-agents."""
        return [self, *self.children]

    def spawn(self, name: str) -> CarefulProgram:
        """Returns a sub-agent of the same kind."""
        child = CarefulProgram(
            f"{self.program_id}/{name}",
            daemons=self._daemons,
            door=self._door,
            class_name=self._class_name,
            patience_s=self._patience_s,
            gives_up=self._gives_up,
        )
        self.children.append(child)
        return child

    async def chat(self, text: str, *, stream: bool = False) -> Told:
        """Asks the model one question, at most `MAX_TOKENS` long."""
        messages = [ChatMessage(role="user", content=text)]
        number = self._calls + 1
        whole = generate(self.program_id, str(number), messages, MAX_TOKENS)
        self.asked[number] = Asked(messages, whole.text, len(whole.pieces))
        return await self.ask("stock-assistant", messages, max_tokens=MAX_TOKENS, stream=stream)

    def rewind(self) -> None:
        """Lets the next call have the number of the last one, which this caller has broken off."""
        self._calls -= 1
        self._repeats = True

    async def order(self, service: str = "reorders", *, text: str = "insulin") -> Told:
        """Places a non-idempotent order."""
        value = {"item": text}
        self.ordered[self._calls + 1] = msgspec.json.encode(value).decode()
        return await self.call_service(service, "/order", value)

    async def repeat_order(self, told: Told) -> Told:
        """Sends an order again under its number, as a caller does whose connection broke."""
        service, _, path = told.target.partition("/")
        self._calls = told.call_number - 1
        self._repeats = True
        return await self.call_service(
            service, f"/{path}", msgspec.json.decode(self.ordered[told.call_number])
        )

    async def _send_until_final(self, call: _Call) -> Told:
        self._first_send, self._repeats = not self._repeats, False
        while True:
            self.attempts += 1
            try:
                told = self._told(call, await self._fetch_call(call))
            except ConnectionLostError as error:
                self._first_send &= not error.sent
                await self._try_another()
                continue
            self.told.append(told)
            self._first_send &= told.verdict == Verdict.NOT_RUN
            # "May have run" with a time to come back is not the last word either: under the same
            # number the system says later what the log says, and runs nothing twice.
            is_not_run = told.verdict == Verdict.NOT_RUN
            if is_not_run and (not told.retry_after_ms or self._gives_up()):
                # The number stays free, and the program's next call has to take it.
                self._calls = call.number - 1
                return told
            if told.verdict == Verdict.RAN or not told.retry_after_ms:
                return told
            await asyncio.sleep(told.retry_after_ms / 1000)

    async def _fetch(
        self, method: str, path: str, *, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> Reply:
        fields = dict(headers or {})
        if "x-call-number" in fields:
            # So long as no earlier send can have run, any daemon may say truly that it was not run.
            fields["x-first-send"] = str(self._first_send).lower()
        try:
            async with asyncio.timeout(_ATTEMPT_LIMIT_S):
                return await super()._fetch(method, path, headers=fields, body=body)
        except TimeoutError as error:
            raise ConnectionLostError("no answer in time", sent=True) from error

    async def _find_address(self) -> str:
        if self._door:
            return self._door
        while True:
            try:
                return await super()._find_address()
            except ConnectionLostError:
                # Any daemon can be asked where to go; that one is away fails no request.
                await super()._try_another()

    async def _try_another(self) -> None:
        self.losses += 1
        self._door = ""
        await super()._try_another()
