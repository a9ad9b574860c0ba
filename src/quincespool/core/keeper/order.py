"""Keeps the calls of each program in order at one keeper, whoever sends them."""

from __future__ import annotations

from typing import NamedTuple


class _Newest(NamedTuple):
    call_number: int
    until_ms: int


class ProgramOrder:
    """The newest call of each program seen here, and its non-idempotent calls still open.

    The epoch of an owner tells an old owner from a new one, but not an old call from a new one of
    the same owner: when the owner's link breaks it records that the call may have run and goes on,
    while the call still waits here. It would take effect after the next one; the backend server's
    journal would show them swapped. (Found by the model checker, `specs/order.py`.)
    """

    def __init__(self) -> None:
        self._newest: dict[str, _Newest] = {}
        self._open: dict[str, list[int]] = {}

    def note(self, program_id: str, call_number: int, *, until_ms: int) -> None:
        """Remembers that a call of this number has been taken in."""
        known = self._newest.get(program_id)
        if known is None or call_number >= known.call_number:
            self._newest[program_id] = _Newest(call_number, until_ms)

    def overtaken(self, program_id: str, call_number: int) -> bool:
        """Whether a later call of the program has been taken in."""
        known = self._newest.get(program_id)
        return known is not None and call_number < known.call_number

    def opened(self, program_id: str, call_number: int) -> None:
        """A non-idempotent call has been sent."""
        self._open.setdefault(program_id, []).append(call_number)

    def closed(self, program_id: str, call_number: int) -> None:
        """A non-idempotent call's exchange is over."""
        numbers = self._open.get(program_id, [])
        if call_number in numbers:
            numbers.remove(call_number)
        if not numbers:
            self._open.pop(program_id, None)

    def must_wait(self, program_id: str, call_number: int) -> bool:
        """Whether an earlier non-idempotent call of the program is still open."""
        return any(number < call_number for number in self._open.get(program_id, ()))

    def forget_old(self, now_ms: int) -> None:
        """Drops programs whose earlier calls cannot come any more."""
        old = [key for key, newest in self._newest.items() if newest.until_ms <= now_ms]
        for program_id in old:
            del self._newest[program_id]
