"""Matching a complete message (fast path) and parsing item by item (slow path) give the same result."""

from hypothesis import given
from hypothesis import strategies as st

from elderlock.net import resp
from elderlock.net.resp import AnswerReader, CommandReader, ProtocolError

TEXT = st.binary(max_size=12) | st.sampled_from([b"API.READ", b"", b"\r\n", b"a\rb", b"a\nb", b"\r", b"$4\r\nabcd"])
LENGTH_ERROR = st.integers(-2, 3)


def bulk_string(text: bytes, length_error: int) -> bytes:
    return b"$%d\r\n%b\r\n" % (max(0, len(text) + length_error), text)


@st.composite
def commands(draw: st.DrawFn) -> bytes:
    parts = draw(st.lists(TEXT, min_size=3, max_size=5))
    length_errors = draw(st.just([0] * len(parts)) | st.lists(LENGTH_ERROR, min_size=len(parts), max_size=len(parts)))
    encoded = b"*%d\r\n" % len(parts) + b"".join(
        bulk_string(part, length_error) for part, length_error in zip(parts, length_errors, strict=True)
    )
    return encoded[: draw(st.integers(0, len(encoded)) | st.just(len(encoded)))]


@st.composite
def answers(draw: st.DrawFn) -> bytes:
    value = bulk_string(draw(TEXT), draw(st.just(0) | LENGTH_ERROR))
    figure = draw(st.sampled_from([b"$-1\r\n", b":12\r\n", b"$2\r\n-1\r\n", b"$-2\r\n"]))
    report = draw(
        st.sampled_from([b"$-1\r\n", b"$7\r\nqueue=2\r\n", b"$8\r\nqueue=2\r\n", b":4\r\n", b"$3\r\na\r\n\r\n"])
    )
    encoded = b"*3\r\n" + value + figure + report + draw(st.sampled_from([b"", b"*3\r\n", b"x"]))
    return encoded[: draw(st.integers(0, len(encoded)) | st.just(len(encoded)))]


def read(reader: CommandReader | AnswerReader, data: bytes, split_point: int) -> list[object]:
    """Feed data in two parts; return the messages, then the error's text or the number of unparsed bytes."""
    messages: list[object] = []
    for part in (data[:split_point], data[split_point:]):
        reader.feed(part)
        try:
            while (message := reader.next_message()) is not None:
                messages.append(message)
        except ProtocolError as error:
            return [*messages, str(error)]
    return [*messages, reader.pending_bytes()]


class SlowPathCommandReader(CommandReader):
    def _match_four_arguments(self) -> None:
        return None


class SlowPathAnswerReader(AnswerReader):
    def _match_usual_answer(self) -> None:
        return None


@given(st.lists(commands(), min_size=1, max_size=3), st.integers(0, 80))
def test_commands_are_read_alike_on_the_fast_and_the_slow_path(parts: list[bytes], split_point: int) -> None:
    data = b"".join(parts)
    assert read(CommandReader(), data, split_point) == read(SlowPathCommandReader(), data, split_point)


@given(answers(), st.integers(0, 60))
def test_answers_are_read_alike_on_the_fast_and_the_slow_path(data: bytes, split_point: int) -> None:
    assert read(AnswerReader(), data, split_point) == read(SlowPathAnswerReader(), data, split_point)


def test_usual_messages_take_the_fast_path() -> None:
    command = b"*4\r\n$8\r\nAPI.READ\r\n$2\r\nab\r\n$1\r\nq\r\n$3\r\nd=1\r\n"
    assert resp.FOUR_ARGUMENT_COMMAND_PATTERN.match(command)
    reader = AnswerReader()
    reader.feed(b"*3\r\n$1\r\nv\r\n$-1\r\n$7\r\nqueue=2\r\n")
    assert reader._match_usual_answer() == (b"v", b"queue=2")
