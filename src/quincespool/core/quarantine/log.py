"""The `quarantine` stream: which requests have crashed backend servers, as the log has it.

A deterministic state machine over the stream: all readers of the same prefix agree. A request is
known by its fingerprint. A crash makes it a suspect, a run to its end clears it, a second crash
before that blocks it for good.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

BLOCKED_CRASHES = 2
MAX_SUSPECTS = 2000


class CrashRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="crash"):
    """A backend server crashed with the request on it.

    `crash_number` counts the crashes of this backend server with this request, as far as the writer
    knew. Two daemons that report the same crash give it the same number, so it counts once, and no
    two daemons' clocks need to be compared.
    """

    fingerprint: str
    backend: str
    crash_number: int
    program_id: str
    call_number: int
    member_id: str
    class_name: str
    at_ms: int


class ClearedRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="cleared"):
    """A suspect ran to its end.

    Clears only crashes recorded before offset `read_to`, which the writer had read: the record may
    be written twice when an answer is lost, and must not clear a crash in between.
    """

    fingerprint: str
    read_to: int
    program_id: str
    call_number: int
    member_id: str
    at_ms: int


class RecordedCrash(NamedTuple):
    """What stands in the log of a fingerprint and a backend server; the newest record's figures."""

    crash_number: int
    offset: int
    program_id: str
    call_number: int
    class_name: str
    at_ms: int


Crashes = dict[str, dict[str, RecordedCrash]]


class CheckpointState(msgspec.Struct, frozen=True):
    """Both kinds of fingerprint, with their crashes by backend server."""

    suspects: Crashes
    blocked: Crashes


class CheckpointRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="checkpoint"):
    """A statement of fact: the state after all records before offset `as_of`."""

    as_of: int
    state: CheckpointState


QuarantineRecord = CrashRecord | ClearedRecord | CheckpointRecord

_DECODER: msgspec.json.Decoder[QuarantineRecord] = msgspec.json.Decoder(QuarantineRecord)


class QuarantineLog:
    """What the records read so far amount to.

    Attributes:
      suspects: Fingerprints with one crash.
      blocked: Fingerprints with two, for good.
      next_offset: Where to read on.
    """

    def __init__(self) -> None:
        self.suspects: Crashes = {}
        self.blocked: Crashes = {}
        self.next_offset = 0
        self._start_offset = 0
        self._unsettled: list[tuple[int, QuarantineRecord]] | None = None

    @property
    def complete(self) -> bool:
        """Whether the state is that of the whole stream, expired records included."""
        return self._unsettled is None

    def restart(self, earliest_offset: int) -> None:
        """Goes on from the first record kept, the ones before it having expired.

        What is known already stays: the records that expired unread can only add to it until a
        checkpoint tells.
        """
        self._start_offset = earliest_offset
        self.next_offset = earliest_offset
        self._unsettled = []

    def settle(self) -> None:
        """Takes what was read for the whole; the end is reached and no checkpoint was there."""
        self._unsettled = None

    def apply(self, offset: int, body: bytes) -> QuarantineRecord | None:
        """Applies the next record; returns it, or None if it is malformed and counts nowhere."""
        self.next_offset = offset + 1
        try:
            record = _DECODER.decode(body)
        except msgspec.DecodeError:
            return None
        if isinstance(record, CheckpointRecord):
            self._take_checkpoint(record)
            return record
        self._apply(offset, record)
        if self._unsettled is not None:
            self._unsettled.append((offset, record))
        return record

    def crash_number(self, fingerprint: str, backend: str) -> int:
        """Returns how often a backend server has crashed with a request."""
        crashes = self.blocked.get(fingerprint) or self.suspects.get(fingerprint, {})
        crash = crashes.get(backend)
        return crash.crash_number if crash else 0

    def checkpoint(self) -> CheckpointRecord:
        """Returns the present state as a record."""
        state = CheckpointState(suspects=self.suspects, blocked=self.blocked)
        return CheckpointRecord(as_of=self.next_offset, state=state)

    def _apply(self, offset: int, record: QuarantineRecord) -> None:
        if isinstance(record, CrashRecord):
            self._take_crash(offset, record)
        elif isinstance(record, ClearedRecord):
            self._take_cleared(record)

    def _take_crash(self, offset: int, record: CrashRecord) -> None:
        if record.fingerprint in self.blocked:
            return
        crashes = self.suspects.setdefault(record.fingerprint, {})
        known = crashes.get(record.backend)
        if known is None or record.crash_number > known.crash_number:
            crashes[record.backend] = RecordedCrash(
                crash_number=record.crash_number,
                offset=offset,
                program_id=record.program_id,
                call_number=record.call_number,
                class_name=record.class_name,
                at_ms=record.at_ms,
            )
        if sum(crash.crash_number for crash in crashes.values()) >= BLOCKED_CRASHES:
            self.blocked[record.fingerprint] = self.suspects.pop(record.fingerprint)
        self._drop_oldest_suspects()

    def _take_cleared(self, record: ClearedRecord) -> None:
        crashes = self.suspects.get(record.fingerprint, {})
        left = {name: one for name, one in crashes.items() if one.offset >= record.read_to}
        if left:
            self.suspects[record.fingerprint] = left
        else:
            self.suspects.pop(record.fingerprint, None)

    def _take_checkpoint(self, record: CheckpointRecord) -> None:
        known = self.blocked
        if self._unsettled is not None:
            self._start_from(record, self._unsettled)
        # Blocked is for good, whoever knows it; this also mends a state that started too late.
        for fingerprint, crashes in (*record.state.blocked.items(), *known.items()):
            self.blocked.setdefault(fingerprint, crashes)
            self.suspects.pop(fingerprint, None)

    def _start_from(
        self, record: CheckpointRecord, unsettled: list[tuple[int, QuarantineRecord]]
    ) -> None:
        self.suspects = dict(record.state.suspects)
        self.blocked = dict(record.state.blocked)
        for offset, later in unsettled:
            if offset >= record.as_of:
                self._apply(offset, later)
        if record.as_of >= self._start_offset:
            self._unsettled = None

    def _drop_oldest_suspects(self) -> None:
        # Suspects whose request never comes again would fill memory and checkpoints without end.
        while len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]
