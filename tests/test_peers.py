"""Datagrams between limiters."""

import asyncio

from elderlock.net.peers import PeerTransport
from elderlock.standins.waiting import run, until


def test_datagrams_are_attributed_by_address_and_limited_in_rate() -> None:
    async def test() -> None:
        received: list[tuple[int, bytes]] = []
        clock = [0.0]
        loop = asyncio.get_running_loop()

        async def bound() -> tuple[asyncio.DatagramTransport, tuple[str, int]]:
            transport, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0))
            return transport, transport.get_extra_info("sockname")

        (one, one_at), (stranger, _) = await bound(), await bound()
        both = (("127.0.0.1", 1), one_at)
        peers = PeerTransport(both, None, 3.0, lambda n, d: received.append((n, d)), lambda: clock[0])
        transport, _ = await loop.create_datagram_endpoint(lambda: peers, local_addr=("127.0.0.1", 0))
        at = transport.get_extra_info("sockname")
        stranger.sendto(b"stranger", at)
        one.sendto(b"x" * 257, at)
        for number in range(5):
            one.sendto(b"%d" % number, at)
        await until(lambda: len(received) == 3)
        clock[0] = 1000.0
        one.sendto(b"last", at)
        await until(lambda: received[-1][1] == b"last")
        assert received[:3] == [(1, b"0"), (1, b"1"), (1, b"2")]
        peers.send(-1, b"to nobody")
        peers.send(1, b"y" * 257)
        assert len(received) == 4

    run(test())
