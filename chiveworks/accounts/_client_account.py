"""Account of a client in one version of the configuration."""

import hashlib
from dataclasses import dataclass

from chiveworks.base import AccountName, Resources


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """What the operators grant to a client.

    Keys are kept as digests, so that none can get into a log or an error message.

    Attributes:
        name: Name of the account.
        key_digests: Digests of its keys, see `digest_key`.
        weight: Share of the workers relative to other accounts when all are in use.
        limit: What the account may have running on all workers; an amount of 0 means no
            limit.
    """

    name: AccountName
    key_digests: frozenset[bytes] = frozenset()
    weight: float = 1.0
    limit: Resources = Resources()


def digest_key(key: str) -> bytes:
    """Returns the digest under which a key is kept."""
    # Headers with bytes that are not UTF-8 are decoded to lone surrogates.
    encoded = key.encode(errors='surrogatepass')
    return hashlib.blake2b(encoded, digest_size=16).digest()
