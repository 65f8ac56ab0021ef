"""Following discovery's server list: lists, watches, address changes and silent connections."""

import json
from typing import Any

import pytest

from elderlock.net.config import parse_config
from elderlock.net.discovery import Discovery as DiscoveryClient
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
        follower = DiscoveryClient(settings, received.append)
        follower.follow(agent.address)
        await until(lambda: len(agent.watches) == 1)
        assert [(listed.version, listed.is_complete, len(listed.servers)) for listed in received] == [(7, True, 1)]
        bad = {"uid": "b", "endpoint": "no address", "state": "up"}
        good = target("c", "127.0.0.1:2", state="draining")
        line = json.dumps({"rev": 8, "all": False, "targets": [bad, good]}).encode()
        agent.send_line(b"\n" + line[:20])
        agent.send_line(line[20:] + b"\n")
        await until(lambda: len(received) == 2)
        assert [server.entry.server_id for server in received[1].servers] == ["c"]  # only the invalid entry is skipped
        agent.watches[-1].transport.abort()
        await until(lambda: len(agent.watches) == 2)
        assert agent.requested_paths[-1].endswith("watch=1&after=8")
        agent.send_line(b"nonsense\n")  # after an unreadable change the complete list is fetched again
        await until(lambda: len(received) == 3)
        assert received[2].version == 7
        follower.stop()

    run(test())


def test_new_address_is_polled_and_the_old_watch_stays_until_its_first_list() -> None:
    async def test() -> None:
        old = await Discovery({"rev": 70, "all": True, "targets": []}).start()
        mute = await Discovery({"rev": 1, "all": True, "targets": []}).start()
        new = await Discovery({"rev": 3, "all": True, "targets": []}).start()
        mute.holds_answers = new.holds_answers = True
        received: list[int] = []
        follower = DiscoveryClient(
            parse_config(raw_config()).socket_settings, lambda listed: received.append(listed.version)
        )
        follower.follow(old.address)
        await until(lambda: len(old.watches) == 1)
        follower.follow(mute.address)
        await until(lambda: len(mute.requested_paths) == 1)
        follower.follow(new.address)  # before a list has arrived from `mute`
        await until(lambda: len(new.requested_paths) == 1 and mute.lost == 1)
        old.send_line(b'{"rev":71,"all":false,"targets":[]}\n')
        await until(lambda: received == [70, 71])  # a change from the old address is still applied
        new.holds_answers = False
        new.release_answers()
        await until(lambda: len(new.watches) == 1 and old.lost == 2)
        assert new.requested_paths == ["/discovery/hosts", "/discovery/hosts?watch=1&after=3"]
        assert received == [70, 71, 3]
        follower.stop()

    run(test())


def test_silent_watch_is_replaced() -> None:
    async def test() -> None:
        agent = await Discovery({"rev": 7, "all": True, "targets": []}).start()
        settings = parse_config(raw_config()).socket_settings
        follower = DiscoveryClient(settings, lambda listed: None)
        follower.silence_limit_s = 0.05
        follower.follow(agent.address)
        await until(lambda: len(agent.watches) == 2)  # the first watch was silent, but not closed
        follower.stop()

    run(test())


async def follow_agent() -> tuple[Discovery, DiscoveryClient, list[int]]:
    """Return an agent at version 7, a client whose watch is open, and a list that collects the received versions."""
    agent = await Discovery({"rev": 7, "all": True, "targets": []}).start()
    received: list[int] = []
    follower = DiscoveryClient(
        parse_config(raw_config()).socket_settings, lambda listed: received.append(listed.version)
    )
    follower.follow(agent.address)
    await until(lambda: len(agent.watches) == 1)
    return agent, follower, received


def test_silent_watch_and_unanswered_call_do_not_delay_the_next_call() -> None:
    async def test() -> None:
        agent, follower, received = await follow_agent()
        agent.ignores_requests = True  # calls are accepted and not answered; the watch stays open and silent
        await until(lambda: len(agent.requested_paths) == 5)
        # Only the call for the first list has ended: neither the watch nor a call was cancelled for the next call.
        assert agent.lost == 1
        agent.ignores_requests = False
        await until(lambda: len(agent.watches) == 2)
        agent.send_line(b'{"rev":8,"all":false,"targets":[]}\n')
        await until(lambda: received == [7, 8])
        await until(lambda: agent.lost == len(agent.requested_paths) - 1)  # now all other calls are cancelled
        follower.stop()

    run(test())


def test_silent_watch_stays_active_if_it_receives_before_a_new_call_is_answered() -> None:
    async def test() -> None:
        agent, follower, received = await follow_agent()
        agent.ignores_requests = True
        await until(lambda: len(agent.requested_paths) == 3)
        agent.send_line(b'{"rev":8,"all":false,"targets":[]}\n')
        await until(lambda: received == [7, 8])
        await until(lambda: agent.lost == len(agent.requested_paths) - 1)
        assert len(agent.watches) == 1
        follower.stop()

    run(test())


def test_late_answer_does_not_undo_later_changes() -> None:
    async def test() -> None:
        agent, follower, received = await follow_agent()
        for version in (9, 8, 9, 10):
            agent.send_line(b'{"rev":%d,"all":false,"targets":[]}\n' % version)
        await until(lambda: received[-1] == 10)
        assert received == [7, 9, 10]
        follower.stop()

    run(test())


def list_line(version: int, *targets: dict[str, Any], complete: bool) -> bytes:
    return json.dumps({"rev": version, "all": complete, "targets": list(targets)}).encode() + b"\n"


def test_older_complete_list_that_is_answered_last_does_not_undo_a_drain() -> None:
    """Guards against: of two open calls the older one is answered last, and a draining server is sent work again."""

    async def test() -> None:
        agent, follower, received = await follow_agent()
        agent.ignores_requests = True  # the watch is silent: calls are opened side by side, and are not answered
        await until(lambda: len(agent.requested_paths) == 3)
        agent.ignores_requests = False
        await until(lambda: len(agent.watches) == 2)
        agent.send_line(list_line(9, target("a", "127.0.0.1:1", "draining"), complete=True))
        agent.watches.pop()
        agent.send_line(list_line(8, target("a", "127.0.0.1:1"), complete=True))  # on the first watch, in the same step
        await until(lambda: len(received) > 1)
        await until(lambda: agent.lost == len(agent.requested_paths) - 1)  # all other calls are cancelled
        assert received == [7, 9]
        follower.stop()

    run(test())


def test_versions_that_start_anew_after_a_restart_of_discovery_are_applied() -> None:
    """Guards against: changes of a restarted discovery are ignored up to its old version, drains among them."""

    async def test() -> None:
        agent, follower, received = await follow_agent()
        agent.complete_list = {"rev": 2, "all": True, "targets": []}
        agent.watches[-1].transport.abort()
        await until(lambda: len(agent.watches) == 2)
        agent.send_line(list_line(3, target("a", "127.0.0.1:1", "draining"), complete=False))
        await until(lambda: len(agent.watches) == 3)  # the complete list has been fetched again
        assert received == [7, 2]
        assert agent.requested_paths[-1].endswith("watch=1&after=2")
        agent.send_line(list_line(3, target("a", "127.0.0.1:1", "draining"), complete=False))
        await until(lambda: received == [7, 2, 3])
        follower.stop()

    run(test())


def test_complete_list_of_a_restarted_discovery_is_applied() -> None:
    async def test() -> None:
        agent, follower, received = await follow_agent()
        agent.watches[-1].transport.abort()
        await until(lambda: len(agent.watches) == 2)
        agent.send_line(list_line(2, target("a", "127.0.0.1:1"), complete=True))
        await until(lambda: received == [7, 2])
        follower.stop()

    run(test())


@pytest.mark.parametrize("chunk_size", [1, 7, 1 << 16])
def test_lists_of_a_watch_may_be_indented(chunk_size: int) -> None:
    changes = [
        {"rev": version, "all": False, "targets": [target("a", "127.0.0.1:1"), target("b", "127.0.0.1:2", "draining")]}
        for version in range(4)
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
    splitter = JsonObjectSplitter()
    objects = [
        found for start in range(0, len(text), chunk_size) for found in splitter.feed(text[start : start + chunk_size])
    ]
    assert [json.loads(found) for found in objects] == changes


def test_line_that_is_not_an_object_is_returned_at_once_and_an_endless_object_is_refused() -> None:
    splitter = JsonObjectSplitter()
    assert splitter.feed(b"nonsense\n") == [b"nonsense"]
    assert splitter.feed(b'{"rev": 1,\n') == []
    assert splitter.feed(b"\n") == [b'{"rev": 1,']  # a blank line ends an incomplete object
    with pytest.raises(ValueError, match="too long"):
        for _ in range(2000):
            assert splitter.feed(b" " * 1000 + b"x\n" if splitter._object_lines else b"{\n") == []
