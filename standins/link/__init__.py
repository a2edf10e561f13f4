"""Stand-in for a network link that can be cut or made silent."""

from standins.link._app import create_app
from standins.link._link import Link
from standins.link._mode import LinkMode

__all__ = ('Link', 'LinkMode', 'create_app')
