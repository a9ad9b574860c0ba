"""The records of programs in the log, and their stored encoding."""

from __future__ import annotations

import msgspec

# Maximum size of the text in one record. The store limits a record to 256 KiB; the rest is reserved
# for the record's ids.
MAX_PART_BYTES = 200_000


class TurnStarted(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """Start of a turn: reserves the maximum number of tokens that it can generate.

    Written before the caller gets the first token, except for turns that `UnrecordedTokens` covers.

    Attributes:
      max_tokens: Tokens to reserve.
      at_ms: Wall clock time in milliseconds.
      retention_ms: For how many milliseconds the turn can be continued after its end, as in
        `TurnEnded`; 0 stands for the present retention of the program. If the turn breaks off, the
        program and its budget are retained for the same time.
    """

    turn_id: str
    program_id: str
    max_tokens: int
    at_ms: int
    retention_ms: int = 0


class TurnEnded(msgspec.Struct, tag="e", array_like=True, frozen=True):
    """End of a complete turn; written before the end of its answer is sent.

    Attributes:
      previous_id: Turn that this one continues, empty if none.
      input: Text that the request adds to the history.
      output: Data of each event, each followed by a line feed.
      tokens: Tokens that the turn generated.
      retention_ms: For how many milliseconds after `at_ms` the turn can be continued.
      at_ms: Wall clock time in milliseconds.
      has_text: Whether the turn can be continued; if not, input and output are left out.
    """

    turn_id: str
    program_id: str
    previous_id: str
    input: bytes
    output: bytes
    tokens: int
    retention_ms: int
    at_ms: int
    has_text: bool = True


class TurnBroken(msgspec.Struct, tag="b", array_like=True, frozen=True):
    """End of an incomplete turn: counts the sent tokens as spent and releases the others."""

    turn_id: str
    program_id: str
    tokens: int
    at_ms: int


class HistoryPart(msgspec.Struct, tag="h", array_like=True, frozen=True):
    """Part of a history imported from another program, or of a turn too long for one record."""

    turn_id: str
    program_id: str
    previous_id: str
    text: bytes
    retention_ms: int
    at_ms: int


class ProgramRenewed(msgspec.Struct, tag="p", array_like=True, frozen=True):
    """Snapshot of a program, preceded by its turns as `HistoryPart` records.

    Replaces all older records of the program. It contains a state and not a change, so a reader
    arrives at the same result whether or not it has also read the replaced records.

    Attributes:
      spent_tokens: See `Program`.
      reserved: See `Program`.
      retention_ms: See `Program`.
      kept_until_ms: See `Program`.
      part_count: Number of records of the program directly before this one that belong to the
        snapshot.
      at_ms: Wall clock time in milliseconds.
    """

    program_id: str
    spent_tokens: int
    reserved: dict[str, int]
    retention_ms: int
    kept_until_ms: int
    part_count: int
    at_ms: int


Record = TurnStarted | TurnEnded | TurnBroken | HistoryPart | ProgramRenewed


def split_history(
    turn_id: str,
    program_id: str,
    text: bytes,
    *,
    previous_id: str = "",
    retention_ms: int,
    at_ms: int,
) -> list[HistoryPart]:
    """Splits a text into pieces that each fit into a record; the last one has the turn's id."""
    pieces = [text[at : at + MAX_PART_BYTES] for at in range(0, len(text), MAX_PART_BYTES)] or [b""]
    parts = []
    for number, piece in enumerate(pieces, start=1):
        part_id = turn_id if number == len(pieces) else f"{turn_id}#{number}"
        parts.append(HistoryPart(part_id, program_id, previous_id, piece, retention_ms, at_ms))
        previous_id = part_id
    return parts


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Returns a record in its stored encoding."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> Record:
    """Returns the record that is encoded in `data`.

    Raises:
      msgspec.DecodeError: if `data` is not a known record.
    """
    return _DECODER.decode(data)
