"""Tokens and text of the model engine: what it generates is a function of the request alone."""

from __future__ import annotations

import hashlib
from typing import NamedTuple
from typing import TypedDict

import msgspec

_BYTES_PER_TOKEN = 4
_DEFAULT_MAX_TOKENS = 64
_SHORTEST_TOKENS = 8
_SPREAD_TOKENS = 48


class ChatMessage(TypedDict):
    """One message of a prompt, as in OpenAI's chat completions."""

    role: str
    content: str


class Resume(msgspec.Struct, frozen=True):
    """Where to resume a stream: after the text generated so far."""

    text: str


class ChatRequest(msgspec.Struct, kw_only=True):
    """What the engine reads of a chat completion request."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None
    resume: Resume = Resume(text="")


class Block(NamedTuple):
    """One message as the prefix cache sees it."""

    digest: str
    tokens: int


class Generation(NamedTuple):
    """What the engine answers; each piece is one token."""

    pieces: list[str]
    finish_reason: str

    @property
    def text(self) -> str:
        """The whole answer."""
        return "".join(self.pieces)

    def after(self, text: str) -> Generation | None:
        """Returns what follows `text`, or None if the answer does not begin with it.

        A token that `text` ends within is generated again and counts; only its rest is given.
        """
        if not self.text.startswith(text):
            return None
        pieces, skip = [], len(text)
        for piece in self.pieces:
            pieces.append(piece[skip:])
            skip = max(0, skip - len(piece))
        return self._replace(pieces=[piece for piece in pieces if piece])


def block_of(message: ChatMessage) -> Block:
    """Returns the cache block of one message."""
    text = f"{message['role']}\0{message['content']}".encode()
    return Block(hashlib.sha256(text).hexdigest()[:24], -(-len(text) // _BYTES_PER_TOKEN))


def blocks_of(messages: list[ChatMessage]) -> list[Block]:
    """Returns the cache blocks of a prompt."""
    return [block_of(message) for message in messages]


def generate(
    program_id: str, call_number: str, messages: list[ChatMessage], max_tokens: int | None
) -> Generation:
    """Returns the answer to a prompt.

    The first token names program and call, the rest depends on the prompt, so that a caller can
    tell whether it was given the whole answer to its own request.
    """
    prompt = "".join(block.digest for block in blocks_of(messages))
    digest = hashlib.sha256(f"{program_id}#{call_number}#{prompt}".encode()).digest()
    wanted = _SHORTEST_TOKENS + digest[0] % _SPREAD_TOKENS
    limit = max_tokens or _DEFAULT_MAX_TOKENS
    words = [f" {digest[at % len(digest)]:02x}{at:x}" for at in range(1, wanted)]
    pieces = [f"[{program_id}#{call_number}]", *words]
    return Generation(pieces[:limit], "length" if wanted > limit else "stop")
