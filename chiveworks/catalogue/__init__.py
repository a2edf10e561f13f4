"""Operators' catalogue: entries, zone switches, replica and editor."""

from chiveworks.catalogue._entry import CatalogueEntry
from chiveworks.catalogue._item import ConfigItem
from chiveworks.catalogue._keys import CONFIG_PREFIX, entry_key, zone_key
from chiveworks.catalogue._priority import Priority
from chiveworks.catalogue._replica import CatalogueReplica
from chiveworks.catalogue._stored import StoredValue, StoredVersion
from chiveworks.catalogue._zone_state import ZoneState
from chiveworks.catalogue._zone_switch import ZoneSwitch

__all__ = (
    'CONFIG_PREFIX',
    'CatalogueEntry',
    'CatalogueReplica',
    'ConfigItem',
    'Priority',
    'StoredValue',
    'StoredVersion',
    'ZoneState',
    'ZoneSwitch',
    'entry_key',
    'zone_key',
)
