"""Catalogue of services and batch work: entries, zone switches, replica, editor."""

from chiveworks.catalogue._edit_conflict import EditConflict
from chiveworks.catalogue._editor import CatalogueEditor
from chiveworks.catalogue._entry import CatalogueEntry
from chiveworks.catalogue._field_change import FieldChange, diff_documents
from chiveworks.catalogue._item import ConfigItem
from chiveworks.catalogue._keys import CONFIG_PREFIX, entry_key, zone_key
from chiveworks.catalogue._priority import Priority
from chiveworks.catalogue._replica import CatalogueReplica
from chiveworks.catalogue._stored import StoredValue, StoredVersion
from chiveworks.catalogue._zone_state import ZoneState
from chiveworks.catalogue._zone_switch import ZoneSwitch

__all__ = (
    'CONFIG_PREFIX',
    'CatalogueEditor',
    'CatalogueEntry',
    'CatalogueReplica',
    'ConfigItem',
    'EditConflict',
    'FieldChange',
    'Priority',
    'StoredValue',
    'StoredVersion',
    'ZoneState',
    'ZoneSwitch',
    'diff_documents',
    'entry_key',
    'zone_key',
)
