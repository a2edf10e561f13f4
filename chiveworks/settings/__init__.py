"""Settings of an entry process and validated loading of YAML files."""

from chiveworks.settings._address import ListenAddress
from chiveworks.settings._limits import Limits
from chiveworks.settings._loader import load_document, load_settings
from chiveworks.settings._placement import PlacementSettings, PlacementWeights
from chiveworks.settings._problem import FileProblem
from chiveworks.settings._retry import RetrySettings
from chiveworks.settings._routing import RoutingSettings
from chiveworks.settings._settings import Settings
from chiveworks.settings._zone_latency import ZoneLatency

__all__ = (
    'FileProblem',
    'Limits',
    'ListenAddress',
    'PlacementSettings',
    'PlacementWeights',
    'RetrySettings',
    'RoutingSettings',
    'Settings',
    'ZoneLatency',
    'load_document',
    'load_settings',
)
