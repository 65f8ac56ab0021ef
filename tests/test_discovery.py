"""Following the server list of discovery: lists, watches, reloads and silence."""

import json

import pytest

from elderlock.net.config import parse_config
from elderlock.net.discovery import Discovery as Watcher
from elderlock.net.discovery import JsonObjectSplitter
from elderlock.net.endpoint_list import EndpointList
from elderlock.standins.discovery import Discovery
from elderlock.standins.settings import raw_config, target
from elderlock.standins.waiting import run, until


def test_complete_list_is_followed_by_changes_and_a_new_watch_from_the_last_version() -> None:
    async def test() -> None:
        agent = await Discovery({"rev": 7, "all": True, "targets": [target("a", "127.0.0.1:1")]}).start()
        received: list[EndpointList] = []
        settings = parse_config(raw_config()).socket_settings
        watcher = Watcher(settings, received.append)
        watcher.follow(agent.address)
        await until(lambda: len(agent.watches) == 1)
        assert [(t.version, t.is_complete, len(t.servers)) for t in received] == [(7, True, 1)]
        bad = {"uid": "b", "endpoint": "no address", "state": "up"}
        good = target("c", "127.0.0.1:2", state="draining")
        line = json.dumps({"rev": 8, "all": False, "targets": [bad, good]}).encode()
        agent.say(b"\n" + line[:20])
        agent.say(line[20:] + b"\n")
        await until(lambda: len(received) == 2)
        assert [t.entry.server_id for t in received[1].servers] == ["c"]  # the bad entry spoils only itself
        agent.watches[-1].transport.abort()
        await until(lambda: len(agent.watches) == 2)
        assert agent.asked[-1].endswith("watch=1&after=8")
        agent.say(b"nonsense\n")  # what it said is lost: the whole list is asked for anew
        await until(lambda: len(received) == 3)
        assert received[2].version == 7
        watcher.stop()

    run(test())


def test_new_address_is_polled_and_the_old_watch_stays_until_its_first_list() -> None:
    async def test() -> None:
        old = await Discovery({"rev": 70, "all": True, "targets": []}).start()
        mute = await Discovery({"rev": 1, "all": True, "targets": []}).start()
        new = await Discovery({"rev": 3, "all": True, "targets": []}).start()
        mute.muted = new.muted = True
        received: list[int] = []
        watcher = Watcher(parse_config(raw_config()).socket_settings, lambda listed: received.append(listed.version))
        watcher.follow(old.address)
        await until(lambda: len(old.watches) == 1)
        watcher.follow(mute.address)
        await until(lambda: len(mute.asked) == 1)
        watcher.follow(new.address)  # before the one in between has received anything
        await until(lambda: len(new.asked) == 1 and mute.lost == 1)
        old.say(b'{"rev":71,"all":false,"targets":[]}\n')
        await until(lambda: received == [70, 71])  # a drain received there just now is not missed
        new.muted = False
        new.answer()
        await until(lambda: len(new.watches) == 1 and old.lost == 2)
        assert new.asked == ["/discovery/hosts", "/discovery/hosts?watch=1&after=3"]
        assert received == [70, 71, 3]
        watcher.stop()

    run(test())


def test_silent_watch_is_replaced() -> None:
    async def test() -> None:
        agent = await Discovery({"rev": 7, "all": True, "targets": []}).start()
        settings = parse_config(raw_config()).socket_settings
        watcher = Watcher(settings, lambda listed: None)
        watcher.silence_limit_s = 0.05
        watcher.follow(agent.address)
        await until(lambda: len(agent.watches) == 2)  # the first was never closed, only silent
        watcher.stop()

    run(test())


async def follow_agent() -> tuple[Discovery, Watcher, list[int]]:
    """Return an agent at version 7, a follower with its watch open, and the versions that come to it."""
    agent = await Discovery({"rev": 7, "all": True, "targets": []}).start()
    received: list[int] = []
    watcher = Watcher(parse_config(raw_config()).socket_settings, lambda listed: received.append(listed.version))
    watcher.follow(agent.address)
    await until(lambda: len(agent.watches) == 1)
    return agent, watcher, received


def test_silent_watch_and_unanswered_call_do_not_delay_the_next_call() -> None:
    async def test() -> None:
        agent, watcher, received = await follow_agent()
        agent.hangs = True  # calls are taken and not answered; the watch stays open and says nothing
        await until(lambda: len(agent.asked) == 5)
        assert (
            agent.lost == 1
        )  # just that of the first list: neither the watch nor a call was given up for the next one
        agent.hangs = False
        await until(lambda: len(agent.watches) == 2)
        agent.say(b'{"rev":8,"all":false,"targets":[]}\n')
        await until(lambda: received == [7, 8])
        await until(lambda: agent.lost == len(agent.asked) - 1)  # and then the others are
        watcher.stop()

    run(test())


def test_watch_taken_for_silent_goes_on_if_it_receives_first() -> None:
    async def test() -> None:
        agent, watcher, received = await follow_agent()
        agent.hangs = True
        await until(lambda: len(agent.asked) == 3)
        agent.say(b'{"rev":8,"all":false,"targets":[]}\n')
        await until(lambda: received == [7, 8])
        await until(lambda: agent.lost == len(agent.asked) - 1)
        assert len(agent.watches) == 1
        watcher.stop()

    run(test())


def test_late_answer_does_not_undo_later_changes() -> None:
    async def test() -> None:
        agent, watcher, received = await follow_agent()
        for rev in (9, 8, 9, 10):
            agent.say(b'{"rev":%d,"all":false,"targets":[]}\n' % rev)
        await until(lambda: received[-1] == 10)
        assert received == [7, 9, 10]
        watcher.stop()

    run(test())


@pytest.mark.parametrize("piece", [1, 7, 1 << 16])
def test_lists_of_a_watch_may_be_indented(piece: int) -> None:
    changes = [
        {"rev": rev, "all": False, "targets": [target("a", "127.0.0.1:1"), target("b", "127.0.0.1:2", "draining")]}
        for rev in range(4)
    ]
    text = b"\n".join(
        [
            json.dumps(changes[0], indent=1).encode(),
            b"",
            json.dumps(changes[1]).encode(),
            json.dumps(changes[2], indent="\t").encode(),
            b" ",
            json.dumps(changes[3], indent=4).encode(),
            b"",
        ]
    )
    lines = JsonObjectSplitter()
    got = [whole for at in range(0, len(text), piece) for whole in lines.feed(text[at : at + piece])]
    assert [json.loads(whole) for whole in got] == changes


def test_line_that_is_no_object_is_returned_at_once_and_an_endless_one_is_refused() -> None:
    lines = JsonObjectSplitter()
    assert lines.feed(b"nonsense\n") == [b"nonsense"]
    assert lines.feed(b'{"rev": 1,\n') == []
    assert lines.feed(b"\n") == [b'{"rev": 1,']  # an empty line ends what never came whole
    with pytest.raises(ValueError, match="too long"):
        for _ in range(2000):
            assert lines.feed(b" " * 1000 + b"x\n" if lines._object_lines else b"{\n") == []
