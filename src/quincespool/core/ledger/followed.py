"""The streams that a daemon follows, each folded, and who holds what by them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.ledger.stream_ledger import StreamLedger
from quincespool.core.placement import partition_of
from quincespool.core.placement import stream_of

if TYPE_CHECKING:
    from quincespool.core.ledger.checkpoint_reader import CheckpointReader
    from quincespool.core.ledger.program_record import ProgramRecord
    from quincespool.core.ledger.state import ClaimState
    from quincespool.settings import Settings

NEVER_MS = -(10**12)


class Followed:
    """One followed stream."""

    def __init__(self, *, partition_count: int) -> None:
        self.ledger = StreamLedger(partition_count=partition_count)
        self.read_to_end_ms = NEVER_MS
        self.checkpoint: CheckpointReader | None = None

    @property
    def complete(self) -> bool:
        """Whether the fold covers the stream from its beginning, if only by a checkpoint."""
        return self.checkpoint is None


class LedgerState:
    """The followed streams; also the `ClaimsView` of this daemon."""

    def __init__(self, *, settings: Settings, member_id: str, incarnation: int) -> None:
        self.settings = settings
        self.member_id = member_id
        self.incarnation = incarnation
        self.streams: dict[str, Followed] = {}
        self.now_ms = 0

    def fresh(self, stream: str) -> bool:
        """Whether a stream was read to its end a short while ago."""
        followed = self.streams.get(stream)
        if followed is None or not followed.complete:
            return False
        return self.now_ms - followed.read_to_end_ms <= self.settings.stale_after_ms

    def stream_of(self, resource: str) -> str:
        """Returns the stream that a resource is claimed in."""
        return stream_of(resource, self.settings.stream_count)

    def claim(self, resource: str) -> ClaimState | None:
        """Returns the claim in force by this daemon's fold, fresh or not."""
        followed = self.streams.get(self.stream_of(resource))
        return followed.ledger.claim(resource) if followed else None

    def epoch_held(self, resource: str) -> int | None:
        """Returns the epoch if this incarnation holds the resource by a fresh ledger."""
        epoch = self.epoch_believed(resource)
        return epoch if self.fresh(self.stream_of(resource)) else None

    def epoch_believed(self, resource: str) -> int | None:
        """Returns the epoch under which this incarnation holds the resource, fresh or not."""
        claim = self.claim(resource)
        if claim is None or claim.holder != self.member_id:
            return None
        return claim.epoch if claim.incarnation == self.incarnation else None

    def holder(self, resource: str) -> str | None:
        """Returns who holds a resource by this daemon's fold, None if free or not followed."""
        claim = self.claim(resource)
        return claim.holder or None if claim else None

    def held(self) -> list[str]:
        """Returns all resources this incarnation holds, by its fold."""
        return [
            resource
            for followed in self.streams.values()
            for resource, claim in followed.ledger.state.claims.items()
            if claim.holder == self.member_id and claim.incarnation == self.incarnation
        ]

    def partition(self, program_id: str) -> str:
        """Returns the partition of a program."""
        return partition_of(program_id, self.settings.partition_count)

    def stream_ledger(self, resource: str) -> StreamLedger | None:
        """Returns the fold of the stream that a resource belongs to, if followed."""
        followed = self.streams.get(self.stream_of(resource))
        return followed.ledger if followed else None

    def program(self, program_id: str) -> ProgramRecord | None:
        """Returns what the log says of a program, None also if its stream is not followed."""
        ledger = self.stream_ledger(self.partition(program_id))
        return ledger.program(program_id) if ledger else None

    def last_sequence(self, stream: str) -> int:
        """Returns this daemon's last group that counts in a stream."""
        followed = self.streams.get(stream)
        if followed is None:
            return 0
        return followed.ledger.last_sequence(self.member_id, self.incarnation)
