"""Addresses that other programs wrote."""

import re
from typing import Final

_MAX_PORT: Final = 65535
_MAX_HOST_LENGTH: Final = 253
_LABEL: Final = '[A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?'
#: IPv4 address or host name, and port. The platform has no IPv6.
_ADDRESS: Final = re.compile(rf'({_LABEL}(?:\.{_LABEL})*):([0-9]{{1,5}})')


def check_address(address: object) -> str:
    """Returns an address of the form host:port.

    Raises:
        ValueError: It is not one, or its port is not from 1 to 65535.
    """
    matched = _ADDRESS.fullmatch(address) if isinstance(address, str) else None
    if matched is None or len(matched[1]) > _MAX_HOST_LENGTH:
        raise ValueError('address is not of the form host:port')
    if not 1 <= int(matched[2]) <= _MAX_PORT:
        raise ValueError(f'address has a port that is not from 1 to {_MAX_PORT}')
    return matched[0]
