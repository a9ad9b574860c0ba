"""What gateway daemons send one another; `schema/gateway.capnp` has the same structs."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple
from typing import get_args

import quincespool.schema
from quincespool.net.struct_codec import StructCodec


class PartitionClaim(NamedTuple):
    """A partition that the sender owns, and the epoch under which it writes."""

    topic: str
    number: int
    epoch: int


class Heartbeat(NamedTuple):
    """By datagram; each replaces the last one of its sender.

    Attributes:
      engine_id: An engine whose speed differs from that of others; empty if none is to be told of.
      engine_event_us: Mean time between the events of a stream of it.
    """

    incarnation: int
    sequence: int
    draining: bool
    configuration_version: int
    generation: int
    claims: tuple[PartitionClaim, ...]
    store_reachable: bool
    engine_id: str = ""
    engine_event_us: int = 0


class HeaderPair(NamedTuple):
    """One header."""

    name: str
    value: str


class RelayCall(NamedTuple):
    """A turn for the owner of its program. Numbers of -1 mean that the caller did not say.

    Attributes:
      kind: Of the route, as daemons of earlier releases read it; turns are always streams.
    """

    relay_id: int
    call_id: str
    method: str
    host: str
    target: str
    headers: tuple[HeaderPair, ...]
    body: bytes
    left_ms: int
    program_id: str
    previous_id: str
    budget_tokens: int
    most_tokens: int
    program_left_ms: int
    configuration_version: int
    kind: str
    timeout_ms: int
    patience_ms: int
    rank: int
    max_attempts: int
    keeps_history: bool
    retention_ms: int
    service: str
    tokens_per_event: int
    account: str
    route: str
    resumable: bool
    resumes_after: int
    route_rank: int
    pressed: bool


class RelayCancel(NamedTuple):
    """The caller has gone, or the receiver has given the call up."""

    relay_id: int


class RelayHead(NamedTuple):
    """The head of the answer."""

    relay_id: int
    status: int
    headers: tuple[HeaderPair, ...]


class RelayPiece(NamedTuple):
    """A piece of the answer's body."""

    relay_id: int
    data: bytes


class RelayEnd(NamedTuple):
    """The answer is whole."""

    relay_id: int


class RelayRefused(NamedTuple):
    """The owner's own final answer; after a head it means that the answer breaks off."""

    relay_id: int
    status: int
    verdict: str
    reason: str
    retry_after_ms: int


class SettleTurn(NamedTuple):
    """A record of a turn whose daemon has lost the partition meanwhile.

    Attributes:
      budget_tokens: Of the turn's program; -1 if unlimited.
    """

    settle_id: int
    topic: str
    number: int
    record: bytes
    budget_tokens: int


class TurnSettled(NamedTuple):
    """What became of that record, as in `Settlement`."""

    settle_id: int
    outcome: str


class FindTurn(NamedTuple):
    """Whoever owns the partition with this turn is asked for its history.

    Attributes:
      certain: Whether the others, too, are to answer, for the partitions that they surely own.
      account: Whose turn it is to be; empty where there are no accounts.
    """

    find_id: int
    turn_id: str
    certain: bool
    account: str


class TurnFound(NamedTuple):
    """The texts of the turn and all before it, and how long it can be continued from now on."""

    find_id: int
    history: bytes
    retention_ms: int


class TurnForeign(NamedTuple):
    """The receiver asked for a turn that is of another account."""

    find_id: int


class ConfigurationQuestion(NamedTuple):
    """The sender knows no newer configuration than this, and cannot read one from the store."""

    version: int


class ConfigurationCopy(NamedTuple):
    """A whole configuration, with its version, and with digests in place of keys.

    Attributes:
      data: As `configuration_copies.write_configuration_copy` returns it.
    """

    data: bytes


class PermitQuestion(NamedTuple):
    """A call wants to run; the receiver is asked as the home of its account.

    Attributes:
      program_id: Empty for a call that belongs to no program.
      may_begin: Whether the call may be the first of its program.
      kind: The route, which tells what the program is expected to be like.
      told_calls: What the account had left when a home last told the sender; -1 if none has.
      rank: Importance of the route; 0 goes first.
    """

    permit_id: int
    account: str
    program_id: str
    may_begin: bool
    kind: str
    told_calls: int
    rank: int


class PermitAnswer(NamedTuple):
    """Whether the call may run.

    Attributes:
      outcome: As in `permit_codec.PermitOutcome`.
      after_ms: Of a call that may run, how long it waits first; of one that may not, when a place
        is free.
      is_pressed: Whether the account has used most of what it may.
      left_calls: What it has left at the home.
    """

    permit_id: int
    outcome: str
    after_ms: int
    is_pressed: bool
    left_calls: int


class PermitReturn(NamedTuple):
    """A call of the account that was let through has reached no backend server."""

    account: str


class TurnAbsent(NamedTuple):
    """The turn is in none of these partitions, whose ownership the store has just confirmed."""

    find_id: int
    partitions: tuple[PartitionClaim, ...]


class LinkProbe(NamedTuple):
    """Makes the kernel notice a link that has gone silent."""

    sent_ms: int


class CrashNotice(NamedTuple):
    """A backend server broke off while it ran a request with this fingerprint."""

    fingerprint: str
    backend_id: str


class BackendReport(NamedTuple):
    """A call of the sender went wrong at this backend server, or is far slower than usual.

    Attributes:
      born_ms: Of the process that was sent the call; -1 where no backend server tells.
      late_ms: For how long the answer has not begun, if that is all; -1 if the call has failed.
    """

    backend_id: str
    born_ms: int
    late_ms: int


class SilenceNotice(NamedTuple):
    """The sender watches this daemon and takes it to be gone.

    The daemon gets the notice too, and answers with a heartbeat to all if it lives.
    """

    member_id: str
    incarnation: int


class SilenceQuestion(NamedTuple):
    """The sender watches the receiver and has not heard it for some heartbeats.

    Attributes:
      incarnation: Last heard of the receiver; it answers whatever that is.
    """

    incarnation: int


Datagram = Heartbeat | CrashNotice | BackendReport | SilenceNotice | SilenceQuestion
LinkMessage = (
    RelayCall
    | RelayCancel
    | RelayHead
    | RelayPiece
    | RelayEnd
    | RelayRefused
    | SettleTurn
    | TurnSettled
    | FindTurn
    | TurnFound
    | TurnAbsent
    | TurnForeign
    | ConfigurationQuestion
    | ConfigurationCopy
    | PermitQuestion
    | PermitAnswer
    | PermitReturn
    | LinkProbe
)

CODEC = StructCodec(
    Path(quincespool.schema.__file__).with_name("gateway.capnp"),
    (*get_args(Datagram), *get_args(LinkMessage)),
    # Heartbeats between zones are paid for by the byte.
    packed=True,
)

# Stands for a number that was not given.
_UNSAID = -1


def write_optional(value: int | None) -> int:
    """Returns a number as it stands in messages, where -1 means that there is none."""
    return _UNSAID if value is None else value


def read_optional(value: int) -> int | None:
    """Returns a number as it stands in calls."""
    return None if value == _UNSAID else value
