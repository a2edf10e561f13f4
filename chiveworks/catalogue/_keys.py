"""Store keys of the configuration."""

from typing import Final

from chiveworks.base import EntryName, ZoneName

CONFIG_PREFIX: Final = 'config/'
ENTRY_PREFIX: Final = 'config/entries/'
ZONE_PREFIX: Final = 'config/zones/'


def entry_key(name: EntryName) -> str:
    """Returns the key of a catalogue entry."""
    return f'{ENTRY_PREFIX}{name}'


def zone_key(zone: ZoneName) -> str:
    """Returns the key of a zone switch."""
    return f'{ZONE_PREFIX}{zone}'
