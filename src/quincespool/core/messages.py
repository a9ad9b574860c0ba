"""What daemons tell one another. `schema/peer.capnp` has one struct for each, field for field.

Field types are limited to `int`, `str`, `bytes`, `bool`, `float`, tuples of `str` and tuples of a
NamedTuple of these, so that the codec (`quincespool.net.codec`) needs no code for each message.
"""

from __future__ import annotations

from typing import NamedTuple


class ForwardCall(NamedTuple):
    """Front door to owner: a caller's call. `ticket` is unique for the sending process."""

    ticket: int
    program_id: str
    call_number: int
    class_name: str
    account: str
    call_kind: str
    target: str
    path: str
    body: bytes
    stream: bool
    idempotent: bool
    max_tokens: int
    deadline_ms: int
    first_send: bool


class ForwardEnd(NamedTuple):
    """Front door to owner: a caller ends its program."""

    ticket: int
    program_id: str


class ForwardAudit(NamedTuple):
    """Front door to owner: an auditor's question."""

    ticket: int
    outcome_id: str


class ForwardGone(NamedTuple):
    """Front door to owner: the caller of this ticket is gone."""

    ticket: int


class ForwardText(NamedTuple):
    """Owner to front door: generated text for a streaming caller."""

    ticket: int
    text: str


class ForwardAnswer(NamedTuple):
    """Owner to front door: the final answer to a ticket."""

    ticket: int
    status: int
    body: bytes
    content_type: str
    verdict: str
    outcome_id: str
    retry_after_ms: int
    reason: str


class Dispatch(NamedTuple):
    """Owner to keeper: run one attempt of a call on a backend server, at most once.

    Attributes:
      attempt_id: `MEMBER:INCARNATION:N`, unique for good.
      backend: Name without `backend/`.
      epoch: The owner's epoch for the program's partition.
      priority: Lower runs first; from the policy.
      time_limit_ms: The keeper ends the attempt after this.
      non_idempotent: A licensed call: sent once, never again by anybody.
      prompt_tokens: Estimate, for the policy.
      attained_ms: Service that the whole program has had so far.
      keeper_incarnation: The process this is for; a later one must not send it. 0 for any.
    """

    attempt_id: str
    backend: str
    program_id: str
    call_number: int
    epoch: int
    call_kind: str
    target: str
    path: str
    body: bytes
    non_idempotent: bool
    priority: int
    time_limit_ms: int
    max_tokens: int
    prompt_tokens: int
    attained_ms: int
    fingerprint: str
    keeper_incarnation: int


class DispatchText(NamedTuple):
    """Keeper to owner: generated text of an attempt."""

    attempt_id: str
    text: str


class DispatchDone(NamedTuple):
    """Keeper to owner: an attempt is over.

    `verdict` is `ran` with the backend server's status and body, `not_run` if the backend server
    cannot have got it (with `reason` and `retry_after_ms`), else `may_have_run`. `crashed` says
    that the backend server cut the connection with the attempt on it.
    """

    attempt_id: str
    verdict: str
    status: int
    body: bytes
    content_type: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
    finish_reason: str
    reason: str
    retry_after_ms: int
    crashed: bool


class DispatchCancel(NamedTuple):
    """Owner to keeper: break an attempt off; it is still answered by `DispatchDone`."""

    attempt_id: str


class KeeperElsewhere(NamedTuple):
    """Keeper to owner: I do not hold this backend server (and have not sent the attempt on).

    `holder` is who does by my ledger, or empty.
    """

    attempt_id: str
    backend: str
    holder: str


class CommitGroup(NamedTuple):
    """Writer to committer: append this `Group` (JSON) with your next batch for the stream."""

    ticket: int
    stream: str
    group: bytes


class CommitRefused(NamedTuple):
    """Committer to writer: not written now (log out or not my stream); do it yourself or wait."""

    ticket: int
    stream: str


class ProgramsAsked(NamedTuple):
    """Keeper to owner: which of these programs, found in an engine's cache, are over?"""

    ticket: int
    backend: str
    program_ids: tuple[str, ...]


class ProgramsOver(NamedTuple):
    """Owner to keeper: these are over or never were; release them. The rest are live."""

    ticket: int
    backend: str
    over: tuple[str, ...]
    unknown: tuple[str, ...]


class CacheRelease(NamedTuple):
    """Owner to keeper: a program is over; release what the backend server holds for it."""

    backend: str
    program_id: str


class CrashSeen(NamedTuple):
    """Keeper to all: a backend server crashed with this request on it."""

    fingerprint: str
    backend: str
    program_id: str
    call_number: int


class BackendSummary(NamedTuple):
    """Keeper to the owners who ask: how busy a backend server is, exactly."""

    backend: str
    running: int
    waiting: int
    waiting_tokens: int
    slots: int
    sent_at_ms: int


class SummaryAsked(NamedTuple):
    """Owner to keeper: send `BackendSummary` now and, for a while, on change."""

    backend: str


class CatalogueAsked(NamedTuple):
    """Newcomer to peer: send the catalogue you hold, the log being out."""

    known_version: int


class CatalogueTold(NamedTuple):
    """Peer to newcomer: the catalogue as accepted up to `next_offset`, as a checkpoint's JSON."""

    next_offset: int
    state: bytes


class PartitionAsked(NamedTuple):
    """A daemon that should hold a partition asks its holder to yield it."""

    resource: str
    epoch: int


class AccountAsked(NamedTuple):
    """Holder to home: what I keep of an account's permits, and what I want.

    The numbers are absolute, so that a repeat or a loss changes nothing. From sending this on, the
    holder uses no more than `held` permits and takes no answer to an earlier sequence number.

    Attributes:
      account: Name without `account/`.
      incarnation: The holder's.
      sequence: Grows with each message of the holder's process.
      epoch: Newest epoch of this account's home that the holder has accepted an answer of, or -1.
      held: Permits it keeps, calls under way included.
      wanted: Permits it would like to have in all.
      tokens_needed: Tokens without which its next call cannot start.
      tokens_wanted: Tokens it would like to have in addition to those it has.
      hold_ms: The longest that one of its calls may run.
    """

    account: str
    incarnation: int
    sequence: int
    epoch: int
    held: int
    wanted: int
    tokens_needed: int
    tokens_wanted: int
    hold_ms: int


class AccountGranted(NamedTuple):
    """Home to holder: the answer to `sequence`.

    `permits` (in all) end `term_ms` after the holder asked, `tokens` (in addition)
    `accounts_home.SLICE_MS` after it did. `retry_after_ms` is 0 if everything wanted was granted.
    """

    account: str
    incarnation: int
    sequence: int
    epoch: int
    permits: int
    tokens: int
    term_ms: int
    retry_after_ms: int


class AccountElsewhere(NamedTuple):
    """Not home to holder: ask `holder`, if not empty."""

    account: str
    incarnation: int
    sequence: int
    holder: str


class MemberUpdate(NamedTuple):
    """What is known of one daemon.

    Attributes:
      member_id: Name of the daemon.
      incarnation: Start of its process in wall-clock milliseconds.
      refutation: Raised by the daemon itself, within one incarnation, to refute a suspicion.
      zone: Availability zone.
      host: IP number.
      http_port: Where callers connect.
      peer_port: TCP and UDP port for daemons.
      state: `alive`, `suspect`, `dead` or `left`.
      draining: Whether it is leaving in a planned stop.
    """

    member_id: str
    incarnation: int
    refutation: int
    zone: str
    host: str
    http_port: int
    peer_port: int
    state: str
    draining: bool


class Ping(NamedTuple):
    """Datagram: are you there? The first update is the sender's own."""

    sequence: int
    sender_id: str
    updates: tuple[MemberUpdate, ...]


class Ack(NamedTuple):
    """Datagram: I am, or (for a `PingRequest`) `subject_id` is."""

    sequence: int
    sender_id: str
    subject_id: str
    updates: tuple[MemberUpdate, ...]


class PingRequest(NamedTuple):
    """Datagram: please ping this daemon for me."""

    sequence: int
    sender_id: str
    target_id: str
    target_host: str
    target_port: int
    updates: tuple[MemberUpdate, ...]


class MembersTold(NamedTuple):
    """Over TCP, to a newcomer and now and then to any daemon: all members known to the sender."""

    updates: tuple[MemberUpdate, ...]


Datagram = Ping | Ack | PingRequest

Message = (
    MembersTold
    | ForwardCall
    | ForwardEnd
    | ForwardAudit
    | ForwardGone
    | ForwardText
    | ForwardAnswer
    | Dispatch
    | DispatchText
    | DispatchDone
    | DispatchCancel
    | KeeperElsewhere
    | CommitGroup
    | CommitRefused
    | ProgramsAsked
    | ProgramsOver
    | CacheRelease
    | CrashSeen
    | BackendSummary
    | SummaryAsked
    | CatalogueAsked
    | CatalogueTold
    | PartitionAsked
    | AccountAsked
    | AccountGranted
    | AccountElsewhere
)
