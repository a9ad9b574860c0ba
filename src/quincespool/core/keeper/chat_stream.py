"""A model engine's answer as server-sent events: chunks of a chat completion up to `[DONE]`."""

from __future__ import annotations

import msgspec

from quincespool.core.call import Usage

END_MARK = b"[DONE]"


class MalformedReplyError(Exception):
    """A backend server's response cannot be understood, or is too long.

    An exception, not a `Result`: this is passed by every token, where a `Result` took more time
    than the parsing itself.
    """


class _FunctionDelta(msgspec.Struct):
    name: str | None = None
    arguments: str | None = None


class _ToolCallDelta(msgspec.Struct):
    index: int = 0
    id: str | None = None
    function: _FunctionDelta | None = None


class _Delta(msgspec.Struct):
    content: str | None = None
    tool_calls: list[_ToolCallDelta] | None = None


class _Choice(msgspec.Struct):
    index: int = 0
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _PromptDetails(msgspec.Struct):
    cached_tokens: int | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None


class _Function(msgspec.Struct):
    name: str = ""
    arguments: str = ""


class _ToolCall(msgspec.Struct):
    id: str = ""
    type: str = "function"
    function: _Function = msgspec.field(default_factory=_Function)


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


class ChatStream:
    """Takes the pieces of one streamed chat completion as they come.

    Only the first choice counts; the text itself is handed on and not kept.

    Attributes:
      finish_reason: Why the engine stopped; empty until it says so.
      usage: Tokens used, None if the engine has not said.
      ended: Whether `[DONE]` has come.
    """

    def __init__(self, *, event_limit_bytes: int) -> None:
        self.finish_reason = ""
        self.usage: Usage | None = None
        self.ended = False
        self._event_limit_bytes = event_limit_bytes
        self._buffer = b""
        self._tool_calls: dict[int, _ToolCall] = {}

    @property
    def whole(self) -> bool:
        """Whether the answer is complete: the engine gave a finish reason or `[DONE]`."""
        return self.ended or bool(self.finish_reason)

    def feed(self, data: bytes) -> str:
        """Takes a piece of the body and returns the text that it completes.

        Raises:
          MalformedReplyError: if this is no chat completion.
        """
        # Engines end lines either way; a CR whose LF is still to come stays in the buffer.
        buffer = (self._buffer + data).replace(b"\r\n", b"\n")
        *events, self._buffer = buffer.split(b"\n\n")
        if len(self._buffer) > self._event_limit_bytes:
            raise MalformedReplyError("event without end")
        return "".join(self._take_event(event) for event in events)

    def tool_calls(self) -> bytes:
        """Returns `{"tool_calls": [...]}` as JSON, empty if the model asked for no tool."""
        if not self._tool_calls:
            return b""
        calls = [self._tool_calls[index] for index in sorted(self._tool_calls)]
        return msgspec.json.encode({"tool_calls": calls})

    def _take_event(self, event: bytes) -> str:
        data = _event_data(event)
        if not data:
            return ""
        if data == END_MARK:
            self.ended = True
            return ""
        try:
            chunk = _CHUNK_DECODER.decode(data)
        except msgspec.DecodeError as error:
            raise MalformedReplyError(f"chunk: {error}") from error
        if chunk.usage is not None:
            self.usage = _usage(chunk.usage)
        return "".join(self._take_choice(choice) for choice in chunk.choices)

    def _take_choice(self, choice: _Choice) -> str:
        if choice.index != 0:
            return ""
        self.finish_reason = choice.finish_reason or self.finish_reason
        for delta in choice.delta.tool_calls or ():
            self._take_tool_call(delta)
        return choice.delta.content or ""

    def _take_tool_call(self, delta: _ToolCallDelta) -> None:
        call = self._tool_calls.setdefault(delta.index, _ToolCall())
        call.id = delta.id or call.id
        if delta.function is None:
            return
        call.function.name = delta.function.name or call.function.name
        call.function.arguments += delta.function.arguments or ""


def _event_data(event: bytes) -> bytes:
    lines = [line[5:] for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(line.removeprefix(b" ") for line in lines)


def _usage(usage: _Usage) -> Usage:
    details = usage.prompt_tokens_details
    return Usage(
        prompt_tokens=usage.prompt_tokens,
        cached_tokens=(details.cached_tokens or 0) if details else 0,
        completion_tokens=usage.completion_tokens,
    )
