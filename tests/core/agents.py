"""Callers for the fuzzer: agent programs that number their calls, repeat them and go on."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.core.reasons import Reason
from quincespool.verdict import Verdict
from tests.core.samples import model_call
from tests.core.samples import reorder_call

if TYPE_CHECKING:
    from quincespool.core.call import Answer
    from quincespool.core.call import Call
    from tests.core.world import World

CALLS_A_PROGRAM = 6
LOOK_MS = 20


class Sent(NamedTuple):
    """A call as a caller sent it."""

    request_id: int
    call: Call
    at_ms: int


class Agent:
    """One caller: runs programs one after the other, each a chain of dependent calls."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.sent: list[Sent] = []
        self.ended: dict[str, int] = {}
        self.active = True
        self.finished_calls = 0
        self._program_number = 0
        self._begin_program()

    def look(self) -> None:
        """Reads answers, sends what is next; called again and again by the world."""
        if not self.active:
            return
        self._step()
        self.world.later(LOOK_MS, self.look)

    def forget_answers(self) -> None:
        """Gives up on answers to earlier sends; the present call is sent again."""
        self._open.clear()
        self._resend_ms = 0

    def _begin_program(self) -> None:
        self._program_number += 1
        self.program_id = f"{self.name}-{self._program_number}"
        self._number = 1
        self._call: Call | None = None
        self._open: list[int] = []
        self._resend_ms = 0

    def _step(self) -> None:
        for request_id in list(self._open):
            answer = self.world.answers.get(request_id)
            if answer is not None:
                self._open.remove(request_id)
                if self._read(answer):
                    return
        if self._call is None:
            self._send_next()
        elif self.world.now_ms >= self._resend_ms:
            self._send(self._call._replace(first_send=False))

    def _read(self, answer: Answer) -> bool:
        """Returns whether the call is over."""
        call = self._call
        if call is None:
            return False
        is_final = (
            answer.verdict == Verdict.RAN
            or answer.reason == Reason.BUDGET
            or (
                answer.verdict == Verdict.MAY_HAVE_RUN
                and call.path == "/reorder"
                and answer.retry_after_ms == 0
            )
        )
        if not is_final:
            self._resend_ms = self.world.now_ms + max(answer.retry_after_ms, LOOK_MS)
            return False
        self._call = None
        self._open = []
        self._number += 1
        self.finished_calls += 1
        if self._number > CALLS_A_PROGRAM or answer.reason == Reason.BUDGET:
            self.ended[self.program_id] = self.world.end(self._door(), self.program_id)
            self._begin_program()
        return True

    def _send_next(self) -> None:
        make = reorder_call if self.world.random.random() < 0.7 else model_call
        self._call = make(self.program_id, self._number, first_send=True)
        self._send(self._call)

    def _send(self, call: Call) -> None:
        request_id = self.world.call(self._door(), call)
        self.sent.append(Sent(request_id, call, self.world.now_ms))
        self._open.append(request_id)
        self._resend_ms = self.world.now_ms + self.world.random.choice([150, 600, 3_000])

    def _door(self) -> str:
        doors = [name for name, daemon in self.world.daemons.items() if daemon.alive]
        return self.world.random.choice(doors)
