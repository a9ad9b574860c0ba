"""Frames on a link between daemons: a length of 4 bytes, then one encoded message.

Cap'n Proto's own stream form would need its event loop or a blocking file to read from; the length
prefix lets a partial frame wait and an oversized one be refused before it is held in memory.
"""

from __future__ import annotations

from quincespool.net.struct_codec import MAX_MESSAGE_BYTES

_PREFIX_BYTES = 4


class FrameError(Exception):
    """The other side does not speak this protocol."""


def frame(message: bytes) -> bytes:
    """Returns a message with its length before it."""
    return len(message).to_bytes(_PREFIX_BYTES, "big") + message


class FrameReader:
    """Cuts what comes in into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def held_bytes(self) -> int:
        """Size of what has come in and is not a whole message yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Takes bytes as they come."""
        self._buffer += data

    def next_message(self) -> bytes | None:
        """Returns the next whole message, None if there is none yet.

        Raises:
          FrameError: if the length cannot be that of a message.
        """
        if len(self._buffer) < _PREFIX_BYTES:
            return None
        size = int.from_bytes(self._buffer[:_PREFIX_BYTES], "big")
        if not 0 < size <= MAX_MESSAGE_BYTES:
            raise FrameError(f"a frame of {size} bytes")
        end = _PREFIX_BYTES + size
        if len(self._buffer) < end:
            return None
        message = bytes(self._buffer[_PREFIX_BYTES:end])
        del self._buffer[:end]
        return message
