"""The program as a process, and what it hears from discovery and its peers."""

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import hiredis
import pytest

from elderlock.net.config import ConfigError, load_config, parse_config
from elderlock.net.discovery import Discovery as Watcher
from elderlock.net.discovery import JsonObjectSplitter
from elderlock.net.endpoint_list import EndpointList
from elderlock.net.peers import PeerTransport
from elderlock.spawning import spawn
from elderlock.standins.boxes import Server
from elderlock.standins.clients import Client
from elderlock.standins.discovery import Discovery
from elderlock.standins.parts import Limiter
from elderlock.standins.settings import raw_config, target
from elderlock.standins.waiting import run, until

ROOT = Path(__file__).parent.parent


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


async def program(path: Path, raw: dict[str, Any]) -> asyncio.subprocess.Process:
    path.write_text(json.dumps(raw))
    return await spawn(
        sys.executable,
        "-B",
        "-m",
        "elderlock",
        cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )


async def ready(port: int, host: str = "127.0.0.1") -> Client:
    """A connection to the program once it answers PING with PONG, as its front looks for."""
    while True:
        try:
            client = await Client.connect(port, host)
        except OSError:
            await asyncio.sleep(0.01)
            continue
        client.send("PING")
        if not isinstance(await client.answer(), hiredis.ReplyError):
            return client
        client.close()


def test_the_program_serves_and_ends_on_sigterm_with_what_it_took_answered(tmp_path: Path) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def behave(command: list[bytes]) -> bytes:
            await release.wait()
            return b"*3\r\n$4\r\nlast\r\n$-1\r\n$-1\r\n"

        server = await Server(behave).start()
        agent = await Discovery({"rev": 1, "all": True, "targets": [target("s", server.endpoint)]}).start()
        port = free_port()
        raw = raw_config(f"127.0.0.1:{port}", "%s:%d" % agent.address)
        process = await program(tmp_path / "config.json", raw)
        client = await ready(port)
        client.read("owed")
        await until(lambda: len(server.commands) == 1)
        late = await Client.connect(port)  # opened for a request that crosses the signal
        process.send_signal(signal.SIGTERM)
        late.read("late")
        await until(lambda: len(server.commands) == 2)
        release.set()
        assert [await client.answer(), await client.answer()] == [b"last", None]
        assert [await late.answer(), await late.answer()] == [b"last", None]
        assert await process.wait() == 0

    run(test())


@pytest.mark.parametrize("known", [None, {"rev": "x"}, {"rev": 1, "all": True, "targets": [5]}])
def test_without_discovery_it_is_not_ready_until_a_list_is_known(known: Any) -> None:
    async def test() -> None:
        raw = raw_config()
        limiter = Limiter()
        limiter.gateway._config = parse_config({**raw, "known": known})
        limiter.gateway.start()
        assert not limiter.gateway.has_list
        limiter.gateway._config = parse_config(
            {**raw, "known": {"rev": 1, "all": True, "targets": [target("s", "127.0.0.1:1")]}}
        )
        limiter.gateway.start()
        assert limiter.gateway.has_list

    run(test())


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"listen": "nowhere"}, "'nowhere' is not an address"),
        ({"seed": "xyz"}, "invalid literal"),
        ({"settings": {}}, "'rules' is missing"),
        ({"settings": None}, "not subscriptable"),
        ({"limits": {"sockets": 3}}, "limits.sockets is 3"),
        ({"limits": {"sockets": float("nan")}}, "NaN is no number"),
    ],
)
def test_a_bad_configuration_is_named(change: dict[str, Any], message: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**raw_config(), **change}))
    with pytest.raises(ConfigError, match=message):
        load_config({"PROXY_CONFIG": str(path)})


@pytest.mark.parametrize(
    ("part", "change", "message"),
    [
        ("services", {"effect": "twice"}, "effect 'twice' is not known"),
        ("services", {"effect": None}, "effect None is not known"),
        ("services", {"goal-time": -1.0}, "goal-time is -1.0, a number from 0"),
        ("services", {"goal-time": 0}, "goal-time is 0.0, a number above 0"),
        ("services", {"deadline": "soon"}, "deadline is 'soon', a number is wanted"),
        ("services", {"memory-span": -5}, "memory-span is -5"),
        ("plans", {"quota-rate": -0.5}, "quota-rate is -0.5"),
        ("plans", {"burst": 1e999}, "burst is inf|Infinity is no number"),
        ("plans", {"parallel": 1.5}, "parallel is 1.5, a whole number"),
        ("rules", {"fall": 0}, "fall is 0.0, a number above 0"),
        ("rules", {"cold-share": True}, "cold-share is True, a number is wanted"),
        ("policy-limits", {"keepalive": None}, "keepalive is None, a number is wanted"),
        (None, {"ordinal": 1}, "ordinal is 1 where peers-total is 1"),
        (None, {"peers-total": -3}, "peers-total is -3"),
    ],
)
def test_settings_that_cannot_be_used_are_named(
    part: str | None, change: dict[str, Any], message: str, tmp_path: Path
) -> None:
    raw = raw_config()
    place = raw["settings"][part] if part else raw["settings"]
    (place[0] if isinstance(place, list) else place).update(change)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    with pytest.raises(ConfigError, match=message):
        load_config({"PROXY_CONFIG": str(path)})


@pytest.mark.parametrize(
    ("part", "name"),
    [
        ("services", "goal-time"),
        ("services", "effect"),
        ("rules", "cold"),
        ("policy-limits", "dial-timeout"),
        ("plans", "name"),
    ],
)
def test_settings_that_are_missing_are_named(part: str, name: str, tmp_path: Path) -> None:
    raw = raw_config()
    place = raw["settings"][part]
    del (place[0] if isinstance(place, list) else place)[name]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    with pytest.raises(ConfigError, match=f"'{name}' is missing"):
        load_config({"PROXY_CONFIG": str(path)})


@pytest.mark.parametrize("text", ["{", "[]", "5", None])
def test_a_bad_configuration_ends_the_program_with_one_line(text: str | None, tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        if text is not None:
            path.write_text(text)
        process = await spawn(
            sys.executable,
            "-B",
            "-m",
            "elderlock",
            cwd=ROOT,
            env={**os.environ, "PROXY_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, error = await process.communicate()
        assert process.returncode == 2
        assert error.count(b"\n") == 1
        assert error.startswith(b"elderlock: ")

    run(test())


def test_discovery_takes_the_whole_list_then_changes_and_comes_back_from_the_last_version() -> None:
    async def test() -> None:
        agent = await Discovery({"rev": 7, "all": True, "targets": [target("a", "127.0.0.1:1")]}).start()
        told: list[EndpointList] = []
        settings = parse_config(raw_config()).socket_settings
        watcher = Watcher(settings, told.append)
        watcher.follow(agent.address)
        await until(lambda: len(agent.watches) == 1)
        assert [(t.version, t.is_complete, len(t.servers)) for t in told] == [(7, True, 1)]
        bad = {"uid": "b", "endpoint": "no address", "state": "up"}
        good = target("c", "127.0.0.1:2", state="draining")
        line = json.dumps({"rev": 8, "all": False, "targets": [bad, good]}).encode()
        agent.say(b"\n" + line[:20])
        agent.say(line[20:] + b"\n")
        await until(lambda: len(told) == 2)
        assert [t.entry.server_id for t in told[1].servers] == ["c"]  # the bad entry spoils only itself
        agent.watches[-1].transport.abort()
        await until(lambda: len(agent.watches) == 2)
        assert agent.asked[-1].endswith("watch=1&after=8")
        agent.say(b"nonsense\n")  # what it said is lost: the whole list is asked for anew
        await until(lambda: len(told) == 3)
        assert told[2].version == 7
        watcher.stop()

    run(test())


def test_a_new_address_is_asked_for_all_and_the_old_watch_stays_till_it_is_told() -> None:
    async def test() -> None:
        old = await Discovery({"rev": 70, "all": True, "targets": []}).start()
        mute = await Discovery({"rev": 1, "all": True, "targets": []}).start()
        new = await Discovery({"rev": 3, "all": True, "targets": []}).start()
        mute.muted = new.muted = True
        told: list[int] = []
        watcher = Watcher(parse_config(raw_config()).socket_settings, lambda listed: told.append(listed.version))
        watcher.follow(old.address)
        await until(lambda: len(old.watches) == 1)
        watcher.follow(mute.address)
        await until(lambda: len(mute.asked) == 1)
        watcher.follow(new.address)  # before the one in between has told anything
        await until(lambda: len(new.asked) == 1 and mute.lost == 1)
        old.say(b'{"rev":71,"all":false,"targets":[]}\n')
        await until(lambda: told == [70, 71])  # a drain told there just now is not missed
        new.muted = False
        new.answer()
        await until(lambda: len(new.watches) == 1 and old.lost == 2)
        assert new.asked == ["/discovery/hosts", "/discovery/hosts?watch=1&after=3"]
        assert told == [70, 71, 3]
        watcher.stop()

    run(test())


def test_a_reload_turns_to_the_new_discovery_and_keeps_what_is_open(tmp_path: Path) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def behave(command: list[bytes]) -> bytes:
            await release.wait()
            return b"*3\r\n$4\r\nkept\r\n$-1\r\n$-1\r\n"

        server = await Server(behave).start()
        whole = {"rev": 9, "all": True, "targets": [target("s", server.endpoint)]}
        old, new = await Discovery(whole).start(), await Discovery({**whole, "rev": 2}).start()
        port = free_port()
        raw = raw_config(f"127.0.0.1:{port}", "%s:%d" % old.address)
        path = tmp_path / "config.json"
        process = await program(path, raw)
        client = await ready(port)
        client.read("open")
        await until(lambda: len(server.commands) == 1)
        assert process.stderr is not None
        unknown = {**raw["settings"], "services": [{**raw["settings"]["services"][0], "effect": "twice"}]}
        moved = {**raw, "discovery": "%s:%d" % new.address}
        for bad in ("{", json.dumps({**moved, "settings": unknown}), json.dumps({**moved, "discovery": "nowhere"})):
            path.write_text(bad)  # a bad file is told in one line, and nothing changes
            process.send_signal(signal.SIGHUP)
            while b"stays as it was" not in await process.stderr.readline():
                pass
        assert not new.asked
        path.write_text(json.dumps({**raw, "discovery": "%s:%d" % new.address}))
        process.send_signal(signal.SIGHUP)
        await until(lambda: len(new.watches) == 1)
        await until(lambda: old.lost == len(old.asked))
        assert new.asked[-1].endswith("after=2")
        release.set()
        assert await client.answer() == b"kept"
        assert await client.ask("next") == b"kept"
        assert server.lost == 0  # the pools stay
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run(test())


def test_a_watch_that_falls_silent_is_dead() -> None:
    async def test() -> None:
        agent = await Discovery({"rev": 7, "all": True, "targets": []}).start()
        settings = parse_config(raw_config()).socket_settings
        watcher = Watcher(settings, lambda listed: None)
        watcher.silence_limit_s = 0.05
        watcher.follow(agent.address)
        await until(lambda: len(agent.watches) == 2)  # the first was never closed, only silent
        watcher.stop()

    run(test())


async def followed() -> tuple[Discovery, Watcher, list[int]]:
    """An agent at version 7 and who follows it, with its watch open and the versions that it was told."""
    agent = await Discovery({"rev": 7, "all": True, "targets": []}).start()
    told: list[int] = []
    watcher = Watcher(parse_config(raw_config()).socket_settings, lambda listed: told.append(listed.version))
    watcher.follow(agent.address)
    await until(lambda: len(agent.watches) == 1)
    return agent, watcher, told


def test_a_silent_watch_and_a_call_that_is_never_answered_hold_nothing_up() -> None:
    async def test() -> None:
        agent, watcher, told = await followed()
        agent.hangs = True  # calls are taken and not answered; the watch stays open and says nothing
        await until(lambda: len(agent.asked) == 5)
        assert (
            agent.lost == 1
        )  # just that of the first list: neither the watch nor a call was given up for the next one
        agent.hangs = False
        await until(lambda: len(agent.watches) == 2)
        agent.say(b'{"rev":8,"all":false,"targets":[]}\n')
        await until(lambda: told == [7, 8])
        await until(lambda: agent.lost == len(agent.asked) - 1)  # and then the others are
        watcher.stop()

    run(test())


def test_a_watch_that_was_held_for_silent_goes_on_when_it_speaks_first() -> None:
    async def test() -> None:
        agent, watcher, told = await followed()
        agent.hangs = True
        await until(lambda: len(agent.asked) == 3)
        agent.say(b'{"rev":8,"all":false,"targets":[]}\n')
        await until(lambda: told == [7, 8])
        await until(lambda: agent.lost == len(agent.asked) - 1)
        assert len(agent.watches) == 1
        watcher.stop()

    run(test())


def test_what_a_late_answer_tells_does_not_undo_later_changes() -> None:
    async def test() -> None:
        agent, watcher, told = await followed()
        for rev in (9, 8, 9, 10):
            agent.say(b'{"rev":%d,"all":false,"targets":[]}\n' % rev)
        await until(lambda: told[-1] == 10)
        assert told == [7, 9, 10]
        watcher.stop()

    run(test())


@pytest.mark.parametrize("piece", [1, 7, 1 << 16])
def test_lists_in_a_watch_may_come_indented(piece: int) -> None:
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


def test_a_line_that_is_no_object_is_told_at_once_and_an_endless_one_is_refused() -> None:
    lines = JsonObjectSplitter()
    assert lines.feed(b"nonsense\n") == [b"nonsense"]
    assert lines.feed(b'{"rev": 1,\n') == []
    assert lines.feed(b"\n") == [b'{"rev": 1,']  # an empty line ends what never came whole
    with pytest.raises(ValueError, match="too long"):
        for _ in range(2000):
            assert lines.feed(b" " * 1000 + b"x\n" if lines._object_lines else b"{\n") == []


def test_peers_are_known_by_address_and_their_number_taken_in_is_limited() -> None:
    async def test() -> None:
        told: list[tuple[int, bytes]] = []
        clock = [0.0]
        loop = asyncio.get_running_loop()

        async def bound() -> tuple[asyncio.DatagramTransport, tuple[str, int]]:
            transport, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0))
            return transport, transport.get_extra_info("sockname")

        (one, one_at), (stranger, _) = await bound(), await bound()
        both = (("127.0.0.1", 1), one_at)
        peers = PeerTransport(both, None, 3.0, lambda n, d: told.append((n, d)), lambda: clock[0])
        transport, _ = await loop.create_datagram_endpoint(lambda: peers, local_addr=("127.0.0.1", 0))
        at = transport.get_extra_info("sockname")
        stranger.sendto(b"stranger", at)
        one.sendto(b"x" * 257, at)
        for number in range(5):
            one.sendto(b"%d" % number, at)
        await until(lambda: len(told) == 3)
        clock[0] = 1000.0
        one.sendto(b"last", at)
        await until(lambda: told[-1][1] == b"last")
        assert told[:3] == [(1, b"0"), (1, b"1"), (1, b"2")]
        peers.send(-1, b"to nobody")
        peers.send(1, b"y" * 257)
        assert len(told) == 4

    run(test())
