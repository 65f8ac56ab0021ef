"""Renames accounts by a key, so that a trace can be passed on without the real account numbers.

The renaming is a permutation, so different accounts keep different names. It is a balanced Feistel network over 34 bits
with keyed BLAKE2 as its round function, repeated until the number is a valid account number (cycle walking; Black and
Rogaway, *Ciphers with Arbitrary Finite Domains*, 2002). It cannot be inverted without the key. Someone who knows which
accounts exist and how much each of them sends may still guess some of them.
"""

from __future__ import annotations

import hashlib
from functools import lru_cache

from elderlock.load.accounts import ACCOUNTS

HALF_BITS, HALF_MASK = 17, (1 << 17) - 1
ROUNDS = 8
MINIMUM_KEY_BYTES = 16


class Renamer:
    """A keyed permutation of the account numbers.

    Attributes:
        number: Renames an account given as a number.
    """

    def __init__(self, key: bytes) -> None:
        """Derive the round keys.

        Raises:
            ValueError: The key is short enough to be guessed.
        """
        if len(key) < MINIMUM_KEY_BYTES:
            raise ValueError(f"the key has {len(key)} bytes, at least {MINIMUM_KEY_BYTES} are needed")
        self._keys = [hashlib.blake2b(key, digest_size=32, person=b"round-%d" % n).digest() for n in range(ROUNDS)]
        self.number = lru_cache(maxsize=1 << 16)(self._number)

    def _round(self, number: int, value: int) -> int:
        digest = hashlib.blake2b(value.to_bytes(4, "big"), digest_size=4, key=self._keys[number]).digest()
        return int.from_bytes(digest, "big") & HALF_MASK

    def _number(self, account: int) -> int:
        while True:
            left, right = account >> HALF_BITS, account & HALF_MASK
            for number in range(ROUNDS):
                left, right = right, left ^ self._round(number, right)
            account = left << HALF_BITS | right
            if account < ACCOUNTS:
                return account

    def __call__(self, account: str) -> str:
        """Rename an account given in hex."""
        return f"{self.number(int(account, 16)):016x}"
