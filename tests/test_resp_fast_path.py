"""The match of a complete message (fast path) and the reading item by item (slow path) give the same result."""

from hypothesis import given
from hypothesis import strategies as st

from elderlock.net import resp
from elderlock.net.resp import AnswerReader, CommandReader, ProtocolError

TEXT = st.binary(max_size=12) | st.sampled_from([b"API.READ", b"", b"\r\n", b"a\rb", b"a\nb", b"\r", b"$4\r\nabcd"])
LENGTH = st.integers(-2, 3)


def bulk(text: bytes, wrong: int) -> bytes:
    return b"$%d\r\n%b\r\n" % (max(0, len(text) + wrong), text)


@st.composite
def commands(draw: st.DrawFn) -> bytes:
    parts = draw(st.lists(TEXT, min_size=3, max_size=5))
    wrong = draw(st.just([0] * len(parts)) | st.lists(LENGTH, min_size=len(parts), max_size=len(parts)))
    made = b"*%d\r\n" % len(parts) + b"".join(bulk(p, w) for p, w in zip(parts, wrong, strict=True))
    return made[: draw(st.integers(0, len(made)) | st.just(len(made)))]


@st.composite
def answers(draw: st.DrawFn) -> bytes:
    value = bulk(draw(TEXT), draw(st.just(0) | LENGTH))
    figure = draw(st.sampled_from([b"$-1\r\n", b":12\r\n", b"$2\r\n-1\r\n", b"$-2\r\n"]))
    report = draw(
        st.sampled_from([b"$-1\r\n", b"$7\r\nqueue=2\r\n", b"$8\r\nqueue=2\r\n", b":4\r\n", b"$3\r\na\r\n\r\n"])
    )
    made = b"*3\r\n" + value + figure + report + draw(st.sampled_from([b"", b"*3\r\n", b"x"]))
    return made[: draw(st.integers(0, len(made)) | st.just(len(made)))]


def read(reader: CommandReader | AnswerReader, data: bytes, cut: int) -> list[object]:
    """All that comes of it, in two pieces, and what is left at the end."""
    found: list[object] = []
    for part in (data[:cut], data[cut:]):
        reader.feed(part)
        try:
            while (message := reader.next_message()) is not None:
                found.append(message)
        except ProtocolError as error:
            return [*found, str(error)]
    return [*found, reader.pending_bytes()]


class SlowPathCommandReader(CommandReader):
    def _match_four_arguments(self) -> None:
        return None


class SlowPathAnswerReader(AnswerReader):
    def _match_usual_answer(self) -> None:
        return None


@given(st.lists(commands(), min_size=1, max_size=3), st.integers(0, 80))
def test_commands_are_read_alike_on_the_fast_and_the_slow_path(parts: list[bytes], cut: int) -> None:
    data = b"".join(parts)
    assert read(CommandReader(), data, cut) == read(SlowPathCommandReader(), data, cut)


@given(answers(), st.integers(0, 60))
def test_answers_are_read_alike_on_the_fast_and_the_slow_path(data: bytes, cut: int) -> None:
    assert read(AnswerReader(), data, cut) == read(SlowPathAnswerReader(), data, cut)


def test_usual_messages_take_the_fast_path() -> None:
    command = b"*4\r\n$8\r\nAPI.READ\r\n$2\r\nab\r\n$1\r\nq\r\n$3\r\nd=1\r\n"
    assert resp.FOUR_ARGUMENT_COMMAND_PATTERN.match(command)
    reader = AnswerReader()
    reader.feed(b"*3\r\n$1\r\nv\r\n$-1\r\n$7\r\nqueue=2\r\n")
    assert reader._match_usual_answer() == (b"v", b"queue=2")
