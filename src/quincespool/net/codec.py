"""Messages between daemons as bytes, by the schema `schema/peer.capnp`."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple
from typing import get_args

import quincespool.schema
from quincespool.core.messages import Datagram
from quincespool.core.messages import Message
from quincespool.net.struct_codec import MAX_MESSAGE_BYTES
from quincespool.net.struct_codec import PROTOCOL_VERSION
from quincespool.net.struct_codec import CodecError
from quincespool.net.struct_codec import StructCodec

__all__ = ["MAX_MESSAGE_BYTES", "PROTOCOL_VERSION", "CodecError", "Envelope", "decode", "encode"]

_SCHEMA_PATH = Path(quincespool.schema.__file__).with_name("peer.capnp")


class Hello(NamedTuple):
    """First on every link.

    Attributes:
      incarnation: Of the process that speaks.
      target_id: The daemon that it believes to speak to.
    """

    incarnation: int
    target_id: str


class Envelope(NamedTuple):
    """A decoded message and the member id of its sender."""

    sender: str
    message: Message | Datagram | Hello


def encode(sender: str, message: Message | Datagram | Hello) -> bytes:
    """Returns the bytes of one message; see `StructCodec.encode`."""
    return _CODEC.encode(sender, message)


def decode(data: bytes) -> Envelope:
    """Returns the message in `data`; see `StructCodec.decode`."""
    return Envelope(*_CODEC.decode(data))


_CODEC = StructCodec(_SCHEMA_PATH, (*get_args(Message), *get_args(Datagram), Hello))
