"""Accounts renamed by a key, so that a trace can be handed on: a permutation, so no two become one.

A balanced Feistel network over 34 bits with keyed BLAKE2 as its round function, walked until the number is an
account's again (Black and Rogaway, *Ciphers with Arbitrary Finite Domains*, 2002). Without the key it cannot
be turned round; who knows which accounts exist and sees how much each sends may still guess.
"""

from __future__ import annotations

import hashlib
from functools import lru_cache

from elderlock.load.accounts import ACCOUNTS

HALF, MASK = 17, (1 << 17) - 1
ROUNDS = 8
LEAST_KEY = 16  # bytes


class Renamer:
    def __init__(self, key: bytes) -> None:
        """Raises `ValueError` for a key that could be guessed."""
        if len(key) < LEAST_KEY:
            raise ValueError(f"the key has {len(key)} bytes, at least {LEAST_KEY} are needed")
        self._keys = [hashlib.blake2b(key, digest_size=32, person=b"round-%d" % n).digest() for n in range(ROUNDS)]
        self.number = lru_cache(maxsize=1 << 16)(self._number)

    def _round(self, number: int, value: int) -> int:
        digest = hashlib.blake2b(value.to_bytes(4, "big"), digest_size=4, key=self._keys[number]).digest()
        return int.from_bytes(digest, "big") & MASK

    def _number(self, account: int) -> int:
        while True:
            left, right = account >> HALF, account & MASK
            for number in range(ROUNDS):
                left, right = right, left ^ self._round(number, right)
            account = left << HALF | right
            if account < ACCOUNTS:
                return account

    def __call__(self, account: str) -> str:
        return f"{self.number(int(account, 16)):016x}"
