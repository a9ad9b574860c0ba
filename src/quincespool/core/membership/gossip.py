"""News that rides on membership datagrams, each piece a limited number of times."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from quincespool.core.messages import MemberUpdate

UPDATES_LIMIT_BYTES = 1_200
TRANSMISSIONS_PER_DOUBLING = 3
_FIXED_BYTES = 72
_WORD_BYTES = 8


class _Piece(NamedTuple):
    sent: int
    age: int
    update: MemberUpdate


class GossipQueue:
    """The newest update on each member that others may not have heard."""

    def __init__(self) -> None:
        self._pieces: dict[str, _Piece] = {}
        self._added = 0

    def add(self, update: MemberUpdate) -> None:
        """Queues an update in place of an older one on the same member."""
        self._added += 1
        self._pieces[update.member_id] = _Piece(0, -self._added, update)

    def heard(self, update: MemberUpdate) -> None:
        """Notes that another member spreads the same update, so that it needs fewer sends here."""
        piece = self._pieces.get(update.member_id)
        if piece is not None and piece.update == update:
            self._pieces[update.member_id] = piece._replace(sent=piece.sent + 1)

    def clear(self) -> None:
        """Drops everything."""
        self._pieces.clear()

    def fresh(self, member_count: int) -> bool:
        """Whether some update has been sent too seldom yet to have reached most members."""
        enough = _doublings(member_count)
        return any(piece.sent < enough for piece in self._pieces.values())

    def pick(self, first: tuple[MemberUpdate, ...], member_count: int) -> tuple[MemberUpdate, ...]:
        """Returns `first` and what fits behind it of the queue, the least sent first."""
        left_bytes = UPDATES_LIMIT_BYTES - sum(map(update_bytes, first))
        most = max(0, left_bytes) // _FIXED_BYTES
        picked = list(first)
        riding = {update.member_id for update in first}
        for member_id in riding & self._pieces.keys():
            self._count(self._pieces[member_id], member_count)
        for piece in heapq.nsmallest(most, self._pieces.values()):
            size_bytes = update_bytes(piece.update)
            if size_bytes > left_bytes:
                break
            if piece.update.member_id not in riding:
                left_bytes -= size_bytes
                picked.append(piece.update)
                self._count(piece, member_count)
        return tuple(picked)

    def _count(self, piece: _Piece, member_count: int) -> None:
        member_id = piece.update.member_id
        if piece.sent + 1 >= TRANSMISSIONS_PER_DOUBLING * _doublings(member_count):
            del self._pieces[member_id]
            return
        self._pieces[member_id] = piece._replace(sent=piece.sent + 1)


def update_bytes(update: MemberUpdate) -> int:
    """Returns the estimated size of an encoded update: fixed words and texts, padded to words."""
    texts = (update.member_id, update.zone, update.host, update.state)
    padded = sum(-(-(len(text) + 1) // _WORD_BYTES) * _WORD_BYTES for text in texts)
    return _FIXED_BYTES + padded


def _doublings(member_count: int) -> int:
    return math.ceil(math.log2(member_count + 1))
