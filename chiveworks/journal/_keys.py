"""Keys of a shard in the store."""

from chiveworks.base import ZoneName

#: Number of slots in the ring; a snapshot is due when half of them are used.
SLOT_COUNT = 512


def journal_prefix(zone: ZoneName) -> str:
    """Returns the key prefix of the journal's slots."""
    return f'shards/{zone}/journal/'


def slot_key(zone: ZoneName, number: int) -> str:
    """Returns the key of the slot that holds record `number`."""
    return f'{journal_prefix(zone)}{number % SLOT_COUNT:03d}'


def snapshot_prefix(zone: ZoneName) -> str:
    """Returns the key prefix of the snapshot."""
    return f'shards/{zone}/snapshot/'


def head_key(zone: ZoneName) -> str:
    """Returns the key of the snapshot's head."""
    return f'{snapshot_prefix(zone)}head'


def part_key(zone: ZoneName, area: int, part: int) -> str:
    """Returns the key of one part of the snapshot in `area`."""
    return f'{snapshot_prefix(zone)}{area}/{part:04d}'


def owner_key(zone: ZoneName) -> str:
    """Returns the key that holds the shard's owner."""
    return f'shards/{zone}/owner'
